//! Statistics of paired differences.

use statrs::distribution::{Binomial, ContinuousCDF, DiscreteCDF, StudentsT};

/// Of the interval.
const CONFIDENCE: f64 = 0.95;

/// What differences between pairs come to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    pub pairs: usize,
    pub mean: f64,
    /// Half the width of the interval of the mean (Student's t, 95 in 100); none under two pairs.
    pub half_width: Option<f64>,
    pub better: usize,
    pub worse: usize,
    /// Chance of so uneven a count of better and worse where neither text is better (sign test, two-sided).
    pub sign_chance: f64,
    pub worst: f64,
}

impl Summary {
    /// Of differences, trial less base; none without any.
    pub fn of(differences: &[f64]) -> Option<Self> {
        let worst = differences.iter().copied().min_by(f64::total_cmp)?;
        let count = differences.len();
        let mean = differences.iter().sum::<f64>() / count as f64;
        let better = differences.iter().filter(|difference| **difference > 0.0).count();
        let worse = differences.iter().filter(|difference| **difference < 0.0).count();
        let sign_chance = sign_chance(better, worse);
        Some(Self {
            pairs: count,
            mean,
            half_width: half_width(differences, mean),
            better,
            worse,
            sign_chance,
            worst,
        })
    }
}

fn half_width(differences: &[f64], mean: f64) -> Option<f64> {
    let count = differences.len();
    let freedom = count.checked_sub(1).filter(|freedom| *freedom > 0)? as f64;
    let squares: f64 = differences.iter().map(|difference| (difference - mean).powi(2)).sum();
    let error = (squares / freedom / count as f64).sqrt();
    let student = StudentsT::new(0.0, 1.0, freedom).ok()?;
    Some(student.inverse_cdf(0.5 + CONFIDENCE / 2.0) * error)
}

fn sign_chance(better: usize, worse: usize) -> f64 {
    let (count, fewer) = ((better + worse) as u64, better.min(worse) as u64);
    match Binomial::new(0.5, count) {
        Ok(binomial) => (2.0 * binomial.cdf(fewer)).min(1.0),
        Err(_) => 1.0,
    }
}
