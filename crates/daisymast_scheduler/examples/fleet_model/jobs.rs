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
    /// Standard deviation of the logarithm of a declared run time around the real one.
    pub(crate) estimate_spread: f64,
    /// Number of jobs that arrive at the start.
    pub(crate) first_jobs: u32,
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

/// Which kinds of jobs arrive, and on which workers they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mix {
    /// Jobs like those of lsgw-sched-large.
    #[default]
    Surveys,
    /// Large gangs, and workers of unlike speed.
    Nesting,
    /// Run times that are declared far from the real ones.
    Render,
}

impl Mix {
    /// Returns the mix with the given name.
    pub(crate) fn named(name: &str) -> Option<Self> {
        match name {
            "surveys" => Some(Self::Surveys),
            "nesting" => Some(Self::Nesting),
            "render" => Some(Self::Render),
            _ => None,
        }
    }

    /// Speeds of the workers, in percent, in rotation.
    pub(crate) fn speeds(self) -> [u64; 3] {
        match self {
            Self::Surveys | Self::Nesting => [70, 70, 170],
            Self::Render => [100, 100, 130],
        }
    }

    /// Processors of a worker, in thousandths of a core.
    pub(crate) fn millicores(self) -> u32 {
        match self {
            Self::Surveys => 32_000,
            Self::Nesting | Self::Render => 64_000,
        }
    }

    /// Number of nodes that send advice requests.
    pub(crate) fn nodes(self) -> usize {
        match self {
            Self::Surveys => 97,
            Self::Nesting => 45,
            Self::Render => 32,
        }
    }

    pub(crate) fn kinds(self) -> Vec<Kind> {
        match self {
            Self::Surveys => vec![quotes(), surveys(), invoices()],
            Self::Nesting => vec![
                urgent_kind(("stock", 144.0, 0.39), 640.0, 250.0, (7.2, 0.1)),
                gang_kind(("nesting", 5.0, 12.9), 5_000.0, 0.2, (430.0, 6.2)),
                batch_kind(("costing", 17.9, 3.9), 2_700.0, 0.5, (100.0, 1.4)),
            ],
            Self::Render => vec![
                urgent_kind(("fix", 187.0, 0.395), 540.0, 300.0, (9.36, 0.13)),
                gang_kind(("burn", 8.1, 10.4), 3_400.0, 0.9, (442.0, 6.37)),
                batch_kind(("pass", 13.4, 3.94), 2_300.0, 0.2, (130.0, 1.82)),
            ],
        }
    }
}

/// Name, jobs per second on 540 workers, and worth of a kind.
type Demand = (&'static str, f64, f64);

fn urgent_kind(
    (name, rate, worth): Demand,
    work_ms: f64,
    latency_ms: f64,
    advice: (f64, f64),
) -> Kind {
    Kind {
        name,
        rate,
        worth,
        millicores: 9_900.0,
        max_millicores: 30_000.0,
        work_ms,
        max_work_ms: work_ms * 2.5,
        estimate_spread: 0.9,
        terms: terms(name, 0, (1.5, latency_ms), advice),
        ..quotes()
    }
}

fn gang_kind(
    (name, rate, worth): Demand,
    work_ms: f64,
    estimate_spread: f64,
    advice: (f64, f64),
) -> Kind {
    Kind {
        name,
        rate,
        worth,
        millicores: 18_000.0,
        max_millicores: 30_000.0,
        work_ms,
        max_work_ms: work_ms * 2.4,
        estimate_spread,
        first_jobs: 18,
        terms: terms(name, 1, (2.2, 1_000.0), advice),
        ..surveys()
    }
}

fn batch_kind(
    (name, rate, worth): Demand,
    work_ms: f64,
    estimate_spread: f64,
    advice: (f64, f64),
) -> Kind {
    Kind {
        name,
        rate,
        worth,
        tasks: 25.0,
        millicores: 6_900.0,
        max_millicores: 21_000.0,
        work_ms,
        max_work_ms: work_ms * 2.5,
        estimate_spread,
        first_jobs: 25,
        terms: terms(name, 2, (4.0, 3_000.0), advice),
        ..invoices()
    }
}

fn quotes() -> Kind {
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
        estimate_spread: 0.5,
        first_jobs: 0,
        terms: terms("quotes", 0, (1.5, 250.0), (16.9, 0.234)),
    }
}

fn surveys() -> Kind {
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
        estimate_spread: 0.5,
        first_jobs: 0,
        terms: terms("surveys", 1, (2.2, 1_000.0), (507.0, 7.28)),
    }
}

fn invoices() -> Kind {
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
        estimate_spread: 0.5,
        first_jobs: 0,
        terms: terms("invoices", 2, (4.0, 3_000.0), (182.0, 2.6)),
    }
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
