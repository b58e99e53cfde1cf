//! Several processes of the program, and what goes wrong between them. Every link between two nodes goes through a
//! relay of the lab's; what the processes act upon is a stand-in that writes everything down, and the verdict comes
//! from its record alone. One seed plays a run's faults again.

mod budgets;
mod collector;
mod faults;
mod fleet;
mod history;
mod leases;
mod process;
mod relay;
mod roll;

pub use budgets::{budgets, judge_budget, Budgeted, Counted, Division, Spent};
pub use collector::{judge, Act, Collector, Verdict};
pub use faults::{Fault, Kind};
pub use fleet::Shape;
pub use history::History;
pub use leases::{run, Found, Wanted};
pub use roll::{roll, Roll, Rolled};
