//! What claims and keepers say to each other.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Who holds or asks. A node back under the same name has another incarnation and is somebody else.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The node's name.
    pub node: String,
    /// Drawn anew at each start of the process.
    pub incarnation: u64,
}

/// To a keeper.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ToKeeper {
    /// Grant me this task, or go on granting it.
    Ask {
        /// The task's name.
        task: String,
        /// Who asks.
        who: Holder,
        /// Under which epoch.
        epoch: u64,
        /// Comes back with the answer, so that an old answer is told from a new one.
        round: u64,
        /// For how long, in microseconds.
        length: Micros,
    },
    /// I don't act under this epoch any more.
    Release {
        /// The task's name.
        task: String,
        /// Who held it.
        who: Holder,
        /// Under which epoch.
        epoch: u64,
    },
    /// From a keeper that has just started: what do you know?
    Recall {
        /// Who asks, by its place among the keepers.
        keeper: usize,
        /// Tells this start from earlier ones.
        start: u64,
    },
    /// The answer to that.
    Memory {
        /// Who answers, by its place among the keepers.
        keeper: usize,
        /// The start that asked.
        start: u64,
        /// The start of the one who answers.
        own: u64,
        /// Whether the one who answers has no memory of its own.
        blank: bool,
        /// Whether the start that asked was blank when the one who answers found all keepers blank.
        together: bool,
        /// Each task with the highest epoch known for it.
        epochs: Vec<(String, u64)>,
        /// The newest start known of the one who asked. Where that is another one, this answer does not count.
        newest: u64,
        /// The newest start known of each keeper but the one who answers, by place.
        starts: Vec<(usize, u64)>,
    },
    /// A newer start of a keeper is known than the one that granted: that one's grants count no more.
    Superseded {
        /// Which keeper, by its place.
        keeper: usize,
        /// Its newest start known.
        start: u64,
    },
}

impl ToNode {
    /// Whom it is for, by its incarnation.
    pub fn who(&self) -> u64 {
        match self {
            ToNode::Granted { who, .. } | ToNode::Refused { who, .. } => *who,
        }
    }
}

/// From a keeper to a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ToNode {
    /// Granted from now on.
    Granted {
        /// The task's name.
        task: String,
        /// Who asked, by its incarnation: messages go by name, and two processes of one name count alike.
        who: u64,
        /// As asked.
        round: u64,
        /// As asked.
        epoch: u64,
        /// The start of the keeper's process that grants.
        start: u64,
        /// The newest start that it knows of each other keeper, by place.
        starts: Vec<(usize, u64)>,
    },
    /// Not granted.
    Refused {
        /// The task's name.
        task: String,
        /// Who asked, by its incarnation.
        who: u64,
        /// As asked.
        round: u64,
        /// The highest epoch that this keeper knows for the task.
        epoch: u64,
        /// Who has it.
        holder: Option<Holder>,
        /// For how much longer by this keeper's clock, in microseconds.
        left: Micros,
    },
}

/// What a keeper must remember of a grant beyond its own end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The task's name.
    pub task: String,
    /// The highest epoch granted.
    pub epoch: u64,
    /// To whom; None where this is only what other keepers told.
    pub holder: Option<Holder>,
    /// For how long, in microseconds.
    pub length: Micros,
}

/// What a keeper writes down.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A grant, or an epoch heard of from another keeper.
    Entry(Entry),
    /// From here on this keeper's memory counts: it has heard from enough of the others, or all began with none, and
    /// then these were the others by place and start.
    Whole(Vec<(usize, u64)>),
    /// The newest start known of a keeper, by place: its own, too.
    Start(usize, u64),
}
