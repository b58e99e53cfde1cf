//! The clock of leases: it goes on while the machine sleeps.

use crate::routing::Micros;
use rustix::time::{clock_gettime, ClockId};

/// For tests alone: parts in a million by which this process's clock of leases runs fast, or slow below 0.
const RATE: &str = "POPPYKEEL_TEST_CLOCK_PPM";

/// The clock; it counts from an arbitrary moment, the same for all processes of a machine.
#[derive(Clone, Copy, Debug)]
pub struct SleepClock {
    ppm: i64,
}

impl SleepClock {
    /// The machine's, at the rate that a test has set.
    pub fn start() -> Self {
        SleepClock {
            ppm: std::env::var(RATE)
                .ok()
                .and_then(|ppm| ppm.parse().ok())
                .unwrap_or(0),
        }
    }

    /// The time now.
    pub fn now(self) -> Micros {
        let now = clock_gettime(ClockId::Boottime);
        let micros = i128::from(now.tv_sec) * 1_000_000 + i128::from(now.tv_nsec) / 1000;
        let scaled = micros + micros * i128::from(self.ppm) / 1_000_000;
        Micros::try_from(scaled).unwrap_or(0)
    }
}
