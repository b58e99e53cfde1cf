//! Experiments: one description, swept over parameters, policies and seeds; results as files that can be taken up
//! again and compared.

pub mod description;
pub mod results;
pub mod runner;
pub mod table;

pub use description::{Experiment, Point};
pub use results::{Found, Results};
