//! Breadth-first exploration of all reachable states of a model.

use std::fmt;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// State machine whose reachable states are checked.
pub trait Model {
    /// State of all parties. Two situations with an equal state are explored once.
    type State: Clone + Eq + Hash + fmt::Debug;
    /// Step of one party; its text is shown in a [`Trace`].
    type Action: fmt::Display;

    /// Returns the state in which the exploration starts.
    fn initial_state(&self) -> Self::State;

    /// Returns all steps that are possible in a state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;

    /// Returns the state that follows from a step.
    fn next_state(&self, state: &Self::State, action: &Self::Action) -> Self::State;

    /// Checks the invariants of a state.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that doesn't hold in the state.
    fn check_invariants(&self, state: &Self::State) -> Result<(), Violation>;
}

/// Invariant that doesn't hold in a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Statement that should hold in every state.
    pub invariant: &'static str,
    /// Contradicting part of the state.
    pub observed: String,
}

/// Shortest sequence of steps to a violation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trace {
    /// Texts of the steps, starting in the initial state.
    pub steps: Vec<String>,
    /// Invariant that doesn't hold after the last step.
    pub violation: Violation,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>3}. {step}", index + 1)?;
        }
        let Violation {
            invariant,
            observed,
        } = &self.violation;
        write!(f, "violated: {invariant}: {observed}")
    }
}

/// Result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Number of distinct states visited.
    pub states: usize,
    /// Largest distance of a visited state from the initial state, in steps.
    pub depth: usize,
    /// Shortest trace to a violation; `None` if every visited state satisfies the invariants. The
    /// exploration ends at the first violation.
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

/// State with its distance from the initial state in steps. Equality and hash ignore the distance.
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

/// Visits the reachable states of a model in the order of their distance from the initial state,
/// and stops at the first state that violates an invariant.
pub fn explore<M: Model>(model: &M) -> Report {
    let mut states = 0;
    let mut depth = 0;
    let first = Node {
        state: model.initial_state(),
        depth: 0,
    };
    for node in bfs_reach(first, |node| successors(model, node)) {
        states += 1;
        depth = depth.max(node.depth);
        if let Err(violation) = model.check_invariants(&node.state) {
            let steps = shortest_path_steps(model, &node.state);
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
            state: model.next_state(&node.state, action),
            depth: node.depth + 1,
        })
        .collect()
}

/// Returns the texts of the steps on a shortest path from the initial state to `target`.
fn shortest_path_steps<M: Model>(model: &M, target: &M::State) -> Vec<String> {
    let path = bfs(
        &model.initial_state(),
        |state| -> Vec<M::State> {
            let actions = model.actions(state);
            actions
                .iter()
                .map(|action| model.next_state(state, action))
                .collect()
        },
        |state| state == target,
    );
    let path = path.unwrap_or_default();
    path.windows(2)
        .filter_map(|pair| step_text(model, &pair[0], &pair[1]))
        .collect()
}

/// Returns the text of the first action that leads from one state to the other.
fn step_text<M: Model>(model: &M, from: &M::State, to: &M::State) -> Option<String> {
    model
        .actions(from)
        .iter()
        .find(|action| &model.next_state(from, action) == to)
        .map(ToString::to_string)
}
