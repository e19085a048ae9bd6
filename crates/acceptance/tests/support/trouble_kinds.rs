//! The kinds of trouble that strike the processes of a fleet and their links.
//!
//! Owns: which kinds there are, and which can strike at the same time. Relies on: nothing.

use curlewcleat_standins::fleet::stream_trouble::StreamTrouble;
use curlewcleat_standins::fleet::EngineLinkFault;

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TroubleKind {
    /// An engine is killed, and another one starts elsewhere.
    EngineKill,
    /// An engine is killed, and one of another id starts at its address.
    EngineReuse,
    /// An engine stands still.
    EngineStop,
    /// An engine closes its listener, serves on, and is killed.
    EngineLeave,
    /// A daemon is killed and started again.
    DaemonKill,
    /// A daemon stands still.
    DaemonStop,
    /// A daemon stops as planned and is started again.
    DaemonLeave,
    /// The configuration changes, twice.
    ConfigChange,
    /// Engines of a new version join, and those of the former one leave.
    Release,
    /// An engine of each service is killed, and engines start that have swapped their addresses.
    EngineSwap,
    /// An engine is silent, and its connections close when another one starts elsewhere.
    EnginePowerLoss,
    /// An engine lives, and answers a share of its requests in this way.
    Answers(StreamTrouble),
    /// All daemons are killed at the same moment and started again.
    AllDaemonsKill,
    /// A daemon is silent, and its connections close when it is started again.
    DaemonPowerLoss,
    /// A daemon runs for a part of the time.
    DaemonSlow,
    /// A daemon reads its settings again.
    DaemonReload,
    /// Nothing arrives on the links from a daemon to the engines.
    LinksSilent,
    /// The links from a daemon to the engines are reset.
    LinksReset,
    /// Nothing arrives on the links from a daemon to half of the engines.
    HalfOfLinksSilent,
    /// A daemon and the others do not reach each other.
    DaemonAlone,
    /// A daemon does not reach the store.
    DaemonWithoutStore,
    /// The store answers nobody.
    StoreSilent,
}

impl TroubleKind {
    /// Returns all kinds that leave no answer which cannot be told from a sound one. Engines close none of their own accord
    /// that has neither a length nor chunks, since by the protocol it has ended then, and damage none.
    pub fn all() -> Vec<TroubleKind> {
        use TroubleKind as Kind;
        let mut kinds = vec![
            Kind::EngineKill,
            Kind::EngineReuse,
            Kind::EngineStop,
            Kind::EngineLeave,
            Kind::DaemonKill,
            Kind::DaemonStop,
            Kind::DaemonLeave,
            Kind::ConfigChange,
            Kind::Release,
            Kind::EngineSwap,
            Kind::EnginePowerLoss,
            Kind::AllDaemonsKill,
            Kind::DaemonPowerLoss,
            Kind::DaemonSlow,
            Kind::DaemonReload,
            Kind::LinksSilent,
            Kind::LinksReset,
            Kind::HalfOfLinksSilent,
            Kind::DaemonAlone,
            Kind::DaemonWithoutStore,
            Kind::StoreSilent,
        ];
        let answers = StreamTrouble::all().into_iter();
        let is_excluded = |trouble: &StreamTrouble| {
            matches!(trouble, StreamTrouble::Closed | StreamTrouble::Damaged)
        };
        let answers = answers.filter(|trouble| !is_excluded(trouble));
        kinds.extend(answers.map(Kind::Answers));
        kinds.sort();
        kinds
    }

    /// Returns whether both kinds can strike at the same time, by different processes.
    pub fn pairs_with(self, other: TroubleKind) -> bool {
        use TroubleKind as Kind;
        if self == other {
            return self.is_of_engine() || (self.is_of_daemon() && !self.is_of_links());
        }
        let strikes_all = |kind: TroubleKind| matches!(kind, Kind::AllDaemonsKill);
        let is_excluded = |one: TroubleKind, other: TroubleKind| {
            // A link has one fault at a time, and all daemons leave none for another trouble.
            strikes_all(one) && other.is_of_daemon() || one.is_of_links() && other.is_of_links()
        };
        !is_excluded(self, other) && !is_excluded(other, self)
    }

    /// Returns whether it strikes an engine.
    pub fn is_of_engine(self) -> bool {
        use TroubleKind as Kind;
        matches!(
            self,
            Kind::EngineKill
                | Kind::EngineReuse
                | Kind::EngineStop
                | Kind::EngineLeave
                | Kind::EngineSwap
                | Kind::EnginePowerLoss
                | Kind::Answers(_)
        )
    }

    /// Returns whether it strikes a daemon or its links.
    pub fn is_of_daemon(self) -> bool {
        use TroubleKind as Kind;
        let is_of_process = matches!(
            self,
            Kind::DaemonKill
                | Kind::DaemonStop
                | Kind::DaemonLeave
                | Kind::DaemonPowerLoss
                | Kind::DaemonSlow
                | Kind::DaemonReload
        );
        is_of_process || self.is_of_links()
    }

    /// Returns whether it strikes the links of a daemon.
    pub fn is_of_links(self) -> bool {
        use TroubleKind as Kind;
        matches!(
            self,
            Kind::LinksSilent
                | Kind::LinksReset
                | Kind::HalfOfLinksSilent
                | Kind::DaemonAlone
                | Kind::DaemonWithoutStore
        )
    }

    /// Returns how the links from a daemon to the engines fail.
    pub fn engine_link_fault(self) -> Option<EngineLinkFault> {
        match self {
            TroubleKind::LinksSilent => Some(EngineLinkFault::Silent),
            TroubleKind::LinksReset => Some(EngineLinkFault::Reset),
            TroubleKind::HalfOfLinksSilent => Some(EngineLinkFault::SilentForHalf),
            _ => None,
        }
    }
}
