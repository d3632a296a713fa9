//! Kinds of jobs, drawn at random, and what their completion is worth.

use daisymast_jobs::queue;

/// Credit of a job that is late, up to three times its objective.
const LATE_CREDIT: f64 = 0.2;

/// A kind of jobs.
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    /// Jobs per second on 540 workers.
    pub(crate) rate: f64,
    pub(crate) worth: f64,
    pub(crate) tasks: f64,
    pub(crate) max_tasks: f64,
    pub(crate) millicores: f64,
    pub(crate) max_millicores: f64,
    pub(crate) work_ms: f64,
    pub(crate) max_work_ms: f64,
    /// Share of jobs whose tasks form a gang.
    pub(crate) gangs: f64,
    /// Share of runs of a gang, or of tasks, that fail.
    pub(crate) errors: f64,
    /// Share of workers that the advice service allows, in percent.
    pub(crate) allowed: u64,
    pub(crate) terms: queue::Queue,
}

fn terms(
    name: &str,
    priority: u32,
    (stretch, latency_ms): (f64, f64),
    (decide_ms, per_worker_ms): (f64, f64),
) -> queue::Queue {
    queue::Queue {
        name: name.into(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        service: "s".into(),
        priority,
        attempts: 3,
        stretch,
        latency_ms,
        advice: Some(queue::Advice {
            decide_ms,
            per_worker_ms,
            valid_ms: 2_500.0,
        }),
        public: false,
    }
}

pub(crate) fn kinds() -> Vec<Kind> {
    vec![
        Kind {
            name: "quotes",
            rate: 135.0,
            worth: 0.41,
            tasks: 3.1,
            max_tasks: 19.0,
            millicores: 7_900.0,
            max_millicores: 24_000.0,
            work_ms: 640.0,
            max_work_ms: 1_600.0,
            gangs: 0.3,
            errors: 0.005,
            allowed: 70,
            terms: terms("quotes", 0, (1.5, 250.0), (16.9, 0.234)),
        },
        Kind {
            name: "surveys",
            rate: 11.0,
            worth: 5.8,
            tasks: 20.0,
            max_tasks: 120.0,
            millicores: 9_000.0,
            max_millicores: 15_000.0,
            work_ms: 4_000.0,
            max_work_ms: 10_000.0,
            gangs: 1.0,
            errors: 0.05,
            allowed: 35,
            terms: terms("surveys", 1, (2.2, 1_000.0), (507.0, 7.28)),
        },
        Kind {
            name: "invoices",
            rate: 18.0,
            worth: 2.2,
            tasks: 24.0,
            max_tasks: 150.0,
            millicores: 5_500.0,
            max_millicores: 17_000.0,
            work_ms: 2_200.0,
            max_work_ms: 5_400.0,
            gangs: 0.0,
            errors: 0.005,
            allowed: 45,
            terms: terms("invoices", 2, (4.0, 3_000.0), (182.0, 2.6)),
        },
    ]
}

/// Pseudo-random numbers (xorshift64*), so that a seed repeats a run.
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub(crate) fn unit(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        let bits = self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11;
        (bits as f64 + 0.5) / (1_u64 << 53) as f64
    }

    /// Log-normal number with a mean and a standard deviation of the logarithm.
    pub(crate) fn around(&mut self, mean: f64, spread: f64) -> f64 {
        let normal = (-2.0 * self.unit().ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        mean * (normal * spread - spread * spread / 2.0).exp()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from a float saturates"
)]
pub(crate) fn whole(value: f64) -> u32 {
    value.round().max(1.0) as u32
}

/// A job that has arrived.
pub(crate) struct Job {
    pub(crate) kind: usize,
    pub(crate) arrived: u64,
    pub(crate) work_ms: u64,
    pub(crate) gang: bool,
    /// Rack of the job's data.
    pub(crate) rack: Option<usize>,
    /// Whether the gang is slower on several racks.
    pub(crate) same_rack: bool,
    pub(crate) tasks: u32,
    pub(crate) worth: f64,
    /// Processor time of all tasks, in core-seconds.
    pub(crate) core_seconds: f64,
    pub(crate) objective_ms: u64,
    pub(crate) completed: Option<u64>,
}

impl Job {
    pub(crate) fn credit(&self) -> f64 {
        match self.completed.map(|at| at - self.arrived) {
            Some(took) if took <= self.objective_ms => 1.0,
            Some(took) if took <= 3 * self.objective_ms => LATE_CREDIT,
            _ => 0.0,
        }
    }
}
