//! Visits every reachable state of a model.

use std::fmt;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A state machine whose every state is checked.
pub trait Model {
    /// State of all parties; what isn't in it doesn't exist.
    type State: Clone + Eq + Hash + fmt::Debug;
    /// One step of one party.
    type Action: fmt::Display;

    /// Returns the first state.
    fn start(&self) -> Self::State;

    /// Returns every step that is possible in a state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;

    /// Returns the state after a step.
    fn next(&self, state: &Self::State, action: &Self::Action) -> Self::State;

    /// Checks the invariants of a state.
    ///
    /// # Errors
    ///
    /// Returns the invariant that doesn't hold.
    fn check(&self, state: &Self::State) -> Result<(), Violation>;
}

/// An invariant that doesn't hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// What should hold.
    pub invariant: &'static str,
    /// What was seen instead.
    pub seen: String,
}

/// A shortest way to a violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// The steps from the first state on.
    pub steps: Vec<String>,
    /// The invariant that doesn't hold after them.
    pub violation: Violation,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>3}. {step}", index + 1)?;
        }
        let Violation { invariant, seen } = &self.violation;
        write!(f, "violated: {invariant}: {seen}")
    }
}

/// What an exploration found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Different states that were visited.
    pub states: usize,
    /// Steps to the farthest of them.
    pub depth: usize,
    /// A shortest way to a violation, if there is one; the exploration ends there.
    pub violation: Option<Trace>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} states, depth {}", self.states, self.depth)?;
        if let Some(trace) = &self.violation {
            write!(f, "\n{trace}")?;
        }
        Ok(())
    }
}

/// A state with its distance from the first one, which doesn't tell states apart.
#[derive(Debug, Clone)]
struct Node<S> {
    state: S,
    depth: usize,
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}

/// Visits the reachable states of a model in the order of their distance, until one violates an
/// invariant.
pub fn explore<M: Model>(model: &M) -> Report {
    let mut states = 0;
    let mut depth = 0;
    let first = Node {
        state: model.start(),
        depth: 0,
    };
    for node in bfs_reach(first, |node| successors(model, node)) {
        states += 1;
        depth = depth.max(node.depth);
        if let Err(violation) = model.check(&node.state) {
            let steps = shortest(model, &node.state);
            return Report {
                states,
                depth,
                violation: Some(Trace { steps, violation }),
            };
        }
    }
    Report {
        states,
        depth,
        violation: None,
    }
}

fn successors<M: Model>(model: &M, node: &Node<M::State>) -> Vec<Node<M::State>> {
    model
        .actions(&node.state)
        .iter()
        .map(|action| Node {
            state: model.next(&node.state, action),
            depth: node.depth + 1,
        })
        .collect()
}

fn shortest<M: Model>(model: &M, target: &M::State) -> Vec<String> {
    let path = bfs(
        &model.start(),
        |state| -> Vec<M::State> {
            let actions = model.actions(state);
            actions
                .iter()
                .map(|action| model.next(state, action))
                .collect()
        },
        |state| state == target,
    );
    let path = path.unwrap_or_default();
    path.windows(2)
        .filter_map(|pair| label(model, &pair[0], &pair[1]))
        .collect()
}

fn label<M: Model>(model: &M, from: &M::State, to: &M::State) -> Option<String> {
    model
        .actions(from)
        .iter()
        .find(|action| &model.next(from, action) == to)
        .map(ToString::to_string)
}
