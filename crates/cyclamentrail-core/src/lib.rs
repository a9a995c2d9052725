//! State and decision logic of cyclamentrail, free of side effects.
//!
//! This crate models a site (availability zones, racks, instances, pools, services) and decides
//! about admission, routing, membership, capacity and maintenance. It does no input or output,
//! reads no clock and starts no threads: the caller passes the time as an argument and receives
//! effects as typed values. The processes, the model checks and the benchmarks therefore run the
//! same code.
//!
//! ```
//! use cyclamentrail_core::{Fleet, Offset};
//!
//! let fleet = Fleet::new();
//! assert_eq!(fleet.next_offset(), Offset::new(0));
//! ```

mod admit;
mod capacity;
mod claim;
mod contract;
mod eject;
mod fleet;
mod heartbeat;
mod id;
mod membership;
mod name;
mod outcome;
mod permit;
mod plan;
mod record;
mod registry;
mod retry;
mod route;
mod settings;
mod share;
mod snapshot;
mod wave;

pub use admit::{
    Admission, AdmissionLimits, AdmissionRequest, Dequeued, MeanResponseTime, QueueTicket, Queued,
    Refusal, RequestClass,
};
pub use capacity::{
    BlockingContract, Capacity, FailureDomainName, PoolCapacity, PoolExplanation,
    ServiceExplanation, explain_pools,
};
pub use claim::{
    CLAIM_WINDOW_MS, Claim, ClaimLookup, ClaimOutcome, ClaimRecord, Claims, IssuedTickets,
    KeyDigest, MAX_CLAIMS, MAX_STORED_BYTES, MAX_TICKETS, ParseTicketError, RequestDigest,
    StoredBody, StoredHeader, StoredResponse, TICKET_RETENTION_MS, TicketId, TicketLookup,
};
pub use contract::{BudgetAccount, BudgetAccounts, BudgetBucket, LossCause};
pub use eject::{AttemptResult, Eligibility, Health, HealthChange, may_eject};
pub use fleet::{
    AcceptedSettings, Duty, Fleet, FoldContext, FoldOutcome, Instance, InstanceState, Member,
    Rejection, RejectionKind,
};
pub use heartbeat::{
    Heartbeat, MAX_RELAYED_BYTES, MAX_RELAYED_RECORDS, RelayedRecord, decode_heartbeat,
    encode_heartbeat,
};
pub use id::{BootId, Incarnation, Offset, RecordId, Term, Version};
pub use membership::{Eviction, Membership, MembershipTiming, PeerStatus};
pub use name::{
    EntryName, ImageName, InstanceName, JobId, LabelName, PoolName, RackName, RouteName,
    ServiceName, SiteName, TeamName, WaveName, WorkerId, ZoneName,
};
pub use outcome::{NotRunReason, Outcome, RequestFailure, UnknownReason};
pub use permit::{Permit, can_evict, is_majority};
pub use plan::{Plan, PlanInput, PlanMethod, PlannedMove, plan};
pub use record::{
    CodecError, DrainReason, FIRST_RECORD_FORMAT, LeaveReason, RECORD_FORMAT, Record, RecordBody,
    decode_message, decode_record, encode_record,
};
pub use registry::Registry;
pub use retry::{AttemptEnd, RetryBudget, RetryState};
pub use route::{Candidate, CandidatePool, Choice, ZONE_PENALTY, choose_instance};
pub use settings::{
    CallerLimits, ContractSettings, ControlSettings, CostWeights, EntrySettings, FailureDomain,
    LogLevel, LogSettings, MaintenanceSettings, PlatformSettings, PoolSettings, RequestSettings,
    SecretSource, ServiceSettings, Settings, SettingsError, SettingsFault, StopSettings,
    WorkerShape, ZoneSettings, load_settings, merge_documents, settings_schema,
};
pub use share::{HomeRing, LinkLimits, LinkState, SlotShare, guaranteed_slots, stall_timeout_us};
pub use snapshot::{MAX_SNAPSHOT_BYTES, SnapshotError, decode_snapshot, encode_snapshot};
pub use wave::{
    Failure, FailureKind, FinishedMove, InstanceExplanation, InstanceObservation, LossKind,
    MaintenanceStep, MoveOrder, MoveReason, Wave, WaveAction, WaveAdvance, WaveControl,
    WaveExplanation, WaveInput, WaveRecord, WaveRunner, WaveState, Waves, explain_instance,
    explain_wave,
};
