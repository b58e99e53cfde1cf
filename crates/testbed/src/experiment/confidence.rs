//! Mean values with confidence intervals.

use std::fmt;

/// Quantiles of Student's t distribution at 97.5%, by degrees of freedom from 1 on.
const STUDENT_T: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];
/// The same quantile of the normal distribution, used beyond the table because Student's t approaches it.
const NORMAL_QUANTILE: f64 = 1.96;

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfidenceInterval {
    /// The middle of the interval; NaN without values.
    pub mean: f64,
    /// Half the width of the interval; NaN for fewer than two values.
    pub half_width: f64,
}

impl ConfidenceInterval {
    /// Computes the mean of the values and its interval. The mean is NaN without values.
    pub fn for_mean_of(values: &[f64]) -> ConfidenceInterval {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n;
        if values.len() < 2 {
            return ConfidenceInterval {
                mean,
                half_width: f64::NAN,
            };
        }
        let squares = values.iter().map(|value| (value - mean).powi(2));
        let variance = squares.sum::<f64>() / (n - 1.0);
        let student_t = STUDENT_T
            .get(values.len() - 2)
            .copied()
            .unwrap_or(NORMAL_QUANTILE);
        ConfidenceInterval {
            mean,
            half_width: student_t * (variance / n).sqrt(),
        }
    }
}

impl fmt::Display for ConfidenceInterval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.half_width.is_nan() {
            write!(f, "{:.1}", self.mean)
        } else {
            write!(f, "{:.1} ±{:.1}", self.mean, self.half_width)
        }
    }
}
