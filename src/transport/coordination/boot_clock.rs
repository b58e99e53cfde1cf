//! The clock of leases: it goes on while the machine sleeps, so that a lease does not last longer for a node that slept.

use poppykeel_coordination::Micros;
use rustix::time::{clock_gettime, ClockId};

/// For tests alone: parts in a million by which this process's clock of leases runs fast, or slow below 0.
const TEST_RATE_VARIABLE: &str = "POPPYKEEL_TEST_CLOCK_PPM";

/// The clock. It counts from an arbitrary moment, the same for all processes of a machine.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    /// Parts in a million by which the clock runs fast; 0 but in tests.
    rate_error_ppm: i64,
}

impl BootClock {
    /// The machine's clock, at the rate that a test has set.
    pub fn start() -> Self {
        let rate_error_ppm = std::env::var(TEST_RATE_VARIABLE)
            .ok()
            .and_then(|ppm| ppm.parse().ok())
            .unwrap_or(0);
        BootClock { rate_error_ppm }
    }

    /// The time now.
    pub fn now(self) -> Micros {
        let now = clock_gettime(ClockId::Boottime);
        let micros = i128::from(now.tv_sec) * 1_000_000 + i128::from(now.tv_nsec) / 1000;
        let scaled = micros + micros * i128::from(self.rate_error_ppm) / 1_000_000;
        Micros::try_from(scaled).unwrap_or(0)
    }
}
