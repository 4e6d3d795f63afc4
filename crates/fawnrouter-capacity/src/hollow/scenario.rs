//! What is played: the fleet, where its members are, what happens to it and when it is measured.

use std::time::Duration;

use super::HollowError;
use crate::plan::{FaultPlan, TrafficPlan};

/// Zones and regions of the design.
const DESIGN_ZONES: u32 = 6;
const DESIGN_REGIONS: u32 = 3;
/// A zone has this many racks.
const RACKS_PER_ZONE: u32 = 5;
/// Core switches of a service of the design, of which there are 26 for 660.
const DESIGN_SERVICES: u32 = 26;
const DESIGN_GATEWAYS: u32 = 660;
/// Connections that the callers of one gateway hold.
const CALLER_CONNECTIONS: u32 = 8;
/// Descriptors of a gateway at the least, and for each core switch that it sees: a quarter of them are for
/// connections to core switches, of which each may need two.
const MIN_DESCRIPTORS: u32 = 1024;
const DESCRIPTORS_PER_SWITCH: u32 = 8;
/// How long a call stands and how long a core switch takes to answer, if the scenario says nothing else.
const DEFAULT_HOLD: Duration = Duration::from_secs(2);
const DEFAULT_ANSWER_DELAY: Duration = Duration::from_millis(20);

/// Where a gateway or a core switch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Its service: the gateways of a service see the core switches of that service and no others.
    pub service: u32,
    /// Its zone.
    pub zone: u32,
    /// Its region.
    pub region: u32,
    /// Its rack in its zone.
    pub rack: u32,
}

/// A fleet and what happens to it. Times count from when all gateways have started.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// What all is drawn from.
    pub seed: u64,
    /// Gateways.
    pub gateways: u32,
    /// Core switches.
    pub switches: u32,
    /// Services that they are divided into.
    pub services: u32,
    /// Zones that they are spread over.
    pub zones: u32,
    /// Regions that the zones belong to.
    pub regions: u32,
    /// Descriptors that a gateway may hold.
    pub descriptors: u32,
    /// Connections that the callers of one gateway use.
    pub caller_connections: u32,
    /// Calls.
    pub traffic: TrafficPlan,
    /// Faults.
    pub faults: FaultPlan,
    /// The first core switch of each service is listed as draining and as ready in turn, this often.
    pub list_change_every: Option<Duration>,
    /// Nothing is measured before this time.
    pub warm_up: Duration,
    /// Figures are taken for this long.
    pub measured: Duration,
    /// What goes on is played to its end for this long, unmeasured.
    pub settle: Duration,
}

impl Scenario {
    /// One service of so many gateways and core switches in one zone, without calls.
    #[must_use]
    pub fn one_service(seed: u64, gateways: u32, switches: u32) -> Self {
        let traffic = TrafficPlan {
            seed,
            gateways,
            calls_per_second: 0.0,
            seconds: 0,
            hold: DEFAULT_HOLD,
            answer_delay: DEFAULT_ANSWER_DELAY,
        };
        Self {
            seed,
            gateways,
            switches,
            services: 1,
            zones: 1,
            regions: 1,
            descriptors: MIN_DESCRIPTORS.max(switches * DESCRIPTORS_PER_SWITCH),
            caller_connections: CALLER_CONNECTIONS,
            traffic,
            faults: FaultPlan::none(),
            list_change_every: None,
            warm_up: Duration::from_secs(2),
            measured: Duration::from_secs(5),
            settle: Duration::ZERO,
        }
    }

    /// A fleet of so many gateways, each with its core switch, in services, zones and regions as in the design.
    #[must_use]
    pub fn fleet(seed: u64, gateways: u32) -> Self {
        let services = (gateways * DESIGN_SERVICES).div_ceil(DESIGN_GATEWAYS).max(1);
        let zones = DESIGN_ZONES.min(gateways.max(1));
        let regions = DESIGN_REGIONS.min(zones);
        Self { services, zones, regions, ..Self::one_service(seed, gateways, gateways) }
    }

    /// The same with calls at this rate at each gateway, from the start to the end of what is measured.
    #[must_use]
    pub fn with_call_rate(mut self, calls_per_second: f64) -> Self {
        self.traffic.calls_per_second = calls_per_second;
        self.traffic.seconds = (self.warm_up + self.measured).as_secs();
        self
    }

    /// The same with calls that stand for so long.
    #[must_use]
    pub fn with_hold_time(mut self, hold: Duration) -> Self {
        self.traffic.hold = hold;
        self
    }

    /// The same measured at another time. Calls go on to its end.
    #[must_use]
    pub fn with_measurement_window(mut self, warm_up: Duration, measured: Duration) -> Self {
        (self.warm_up, self.measured) = (warm_up, measured);
        self.with_same_call_rate()
    }

    fn with_same_call_rate(self) -> Self {
        let rate = self.traffic.calls_per_second;
        self.with_call_rate(rate)
    }

    /// The same played on for so long after what is measured.
    #[must_use]
    pub fn with_settle_time(mut self, settle: Duration) -> Self {
        self.settle = settle;
        self
    }

    /// The same with these faults.
    #[must_use]
    pub fn with_faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }

    /// The same with a list that changes this often.
    #[must_use]
    pub fn with_list_change_interval(mut self, every: Duration) -> Self {
        self.list_change_every = Some(every);
        self
    }

    /// When what is measured ends.
    #[must_use]
    pub fn measurement_end(&self) -> Duration {
        self.warm_up + self.measured
    }

    /// Where a gateway is.
    #[must_use]
    pub fn gateway_location(&self, number: u32) -> Location {
        self.location(number, self.gateways)
    }

    /// Where a core switch is.
    #[must_use]
    pub fn switch_location(&self, number: u32) -> Location {
        self.location(number, self.switches)
    }

    /// The members of each service follow each other, and each goes to another zone than the one before.
    fn location(&self, number: u32, count: u32) -> Location {
        let service = u64::from(number) * u64::from(self.services) / u64::from(count.max(1));
        let zone = number % self.zones;
        let rack = number / self.zones % RACKS_PER_ZONE;
        // Both are below the counts they are taken from.
        Location { service: service as u32, zone, region: zone * self.regions / self.zones, rack }
    }

    /// Core switches that the gateways of a service see.
    #[must_use]
    pub fn switches_seen(&self, service: u32) -> u32 {
        (0..self.switches).filter(|number| self.switch_location(*number).service == service).count() as u32
    }

    pub(crate) fn check(&self) -> Result<(), HollowError> {
        let counts = [
            (self.gateways, "gateways"),
            (self.switches, "switches"),
            (self.services, "services"),
            (self.zones, "zones"),
            (self.regions, "regions"),
            (self.caller_connections, "caller_connections"),
        ];
        if let Some((_, name)) = counts.iter().find(|(count, _)| *count == 0) {
            return Err(HollowError::Scenario { field: name, wanted: "1 at least" });
        }
        if self.services > self.gateways.min(self.switches) {
            return Err(HollowError::Scenario {
                field: "services",
                wanted: "one gateway and switch for each",
            });
        }
        if self.regions > self.zones {
            return Err(HollowError::Scenario { field: "regions", wanted: "one zone for each at least" });
        }
        if self.traffic.gateways != self.gateways {
            return Err(HollowError::Scenario { field: "traffic.gateways", wanted: "as many as gateways" });
        }
        if self.measured < Duration::from_secs(1) {
            return Err(HollowError::Scenario { field: "measured", wanted: "a second at least" });
        }
        Ok(())
    }
}
