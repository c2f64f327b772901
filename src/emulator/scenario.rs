use std::time::Duration;

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Scenario {
    /// Every region has room.
    Calm,
    /// The first region has more work than its engines can do.
    Peak,
    /// The first region loses half of its engines.
    Loss,
    /// Every engine starts anew with a cold cache.
    Restart,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Self; 4] = [Self::Calm, Self::Peak, Self::Loss, Self::Restart];

    /// The scenario's name.
    ///
    /// ```
    /// assert_eq!(pomelogate::emulator::Scenario::Peak.as_str(), "peak");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Peak => "peak",
            Self::Loss => "loss",
            Self::Restart => "restart",
        }
    }

    /// Requests a second for each engine of a region.
    pub fn rate(self, region: usize) -> f64 {
        match (self, region) {
            (Self::Calm, _) => 1.6,
            (Self::Peak, 0) => 4.0,
            (Self::Peak, _) => 1.2,
            (Self::Loss, _) => 2.2,
            (Self::Restart, _) => 2.4,
        }
    }
}

/// The size of a deployment and the length of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Engines of each region.
    pub engines: Vec<usize>,
    /// Instances of the plain service, one in each region.
    pub services: bool,
    /// VMs of each region.
    pub vms: Vec<usize>,
    /// Whether VMs choose among the targets of all regions, for a baseline that ignores distance.
    pub everywhere: bool,
    /// How long requests arrive.
    pub length: Duration,
}

impl Shape {
    /// The first deployment: 20 engines and 3 services before 8 VMs.
    pub fn kapsul_bersih() -> Self {
        Self { engines: vec![7, 7, 6], ..Self::cooperative() }
    }

    /// The second deployment: 12 engines and 3 services before 8 VMs.
    pub fn cooperative() -> Self {
        Self {
            engines: vec![4, 4, 4],
            services: true,
            vms: vec![3, 3, 2],
            everywhere: false,
            length: Duration::from_secs(90),
        }
    }
}
