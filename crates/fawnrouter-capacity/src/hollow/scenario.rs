//! Scenarios of a simulation: the fleet, where its members are, its traffic and faults, and when it is
//! measured.

use std::time::Duration;

use super::HollowError;
use crate::plan::{FaultPlan, TrafficPlan};

/// Zones and regions of the fleet's design size.
const DESIGN_ZONES: u32 = 6;
const DESIGN_REGIONS: u32 = 3;
const RACKS_PER_ZONE: u32 = 5;
/// Services of the design size, over 660 gateways and as many core switches.
const DESIGN_SERVICES: u32 = 26;
const DESIGN_GATEWAYS: u32 = 660;
/// Connections from callers to one gateway.
const CALLER_CONNECTIONS: u32 = 8;
/// Least number of a gateway's descriptors, and descriptors for each core switch that it sees. The gateway
/// uses a quarter of its descriptors for connections to core switches and may need two for each.
const MIN_DESCRIPTORS: u32 = 1024;
const DESCRIPTORS_PER_SWITCH: u32 = 8;
/// How long a call lasts and how long a core switch takes to answer, unless the scenario sets another time.
const DEFAULT_HOLD: Duration = Duration::from_secs(2);
const DEFAULT_ANSWER_DELAY: Duration = Duration::from_millis(20);

/// Location of a gateway or core switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Service. Gateways see the core switches of their own service only.
    pub service: u32,
    /// Zone.
    pub zone: u32,
    /// Region.
    pub region: u32,
    /// Rack within the zone.
    pub rack: u32,
}

/// A fleet with its traffic and faults. Times count from when all gateways have started.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Seed of all random values.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: u32,
    /// Number of core switches.
    pub switches: u32,
    /// Number of services that gateways and core switches are divided into.
    pub services: u32,
    /// Number of zones that they are spread over.
    pub zones: u32,
    /// Number of regions that the zones belong to.
    pub regions: u32,
    /// Limit of descriptors of a gateway.
    pub descriptors: u32,
    /// Connections from callers to one gateway.
    pub caller_connections: u32,
    /// Planned calls.
    pub traffic: TrafficPlan,
    /// Planned faults.
    pub faults: FaultPlan,
    /// Interval at which the first core switch of each service alternates between draining and ready in the
    /// list.
    pub list_change_every: Option<Duration>,
    /// Time before the measurement starts.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub measured: Duration,
    /// Time that the simulation goes on after the measurement, so that calls can end.
    pub settle: Duration,
}

impl Scenario {
    /// One service in one zone with these numbers of gateways and core switches, without calls.
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

    /// A fleet of this many gateways and as many core switches, with services, zones and regions in the
    /// proportions of the design size.
    #[must_use]
    pub fn fleet(seed: u64, gateways: u32) -> Self {
        let services = (gateways * DESIGN_SERVICES).div_ceil(DESIGN_GATEWAYS).max(1);
        let zones = DESIGN_ZONES.min(gateways.max(1));
        let regions = DESIGN_REGIONS.min(zones);
        Self { services, zones, regions, ..Self::one_service(seed, gateways, gateways) }
    }

    /// Sets the rate of calls at each gateway, from the start to the end of the measurement.
    #[must_use]
    pub fn with_call_rate(mut self, calls_per_second: f64) -> Self {
        self.traffic.calls_per_second = calls_per_second;
        self.traffic.seconds = (self.warm_up + self.measured).as_secs();
        self
    }

    /// Sets how long calls last.
    #[must_use]
    pub fn with_hold_time(mut self, hold: Duration) -> Self {
        self.traffic.hold = hold;
        self
    }

    /// Sets when the measurement starts and how long it lasts. Calls go on to its end.
    #[must_use]
    pub fn with_measurement_window(mut self, warm_up: Duration, measured: Duration) -> Self {
        (self.warm_up, self.measured) = (warm_up, measured);
        self.with_same_call_rate()
    }

    fn with_same_call_rate(self) -> Self {
        let rate = self.traffic.calls_per_second;
        self.with_call_rate(rate)
    }

    /// Sets how long the simulation goes on after the measurement.
    #[must_use]
    pub fn with_settle_time(mut self, settle: Duration) -> Self {
        self.settle = settle;
        self
    }

    /// Sets the planned faults.
    #[must_use]
    pub fn with_faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }

    /// Lets the list change at this interval.
    #[must_use]
    pub fn with_list_change_interval(mut self, every: Duration) -> Self {
        self.list_change_every = Some(every);
        self
    }

    /// Time at which the measurement ends.
    #[must_use]
    pub fn measurement_end(&self) -> Duration {
        self.warm_up + self.measured
    }

    /// Location of a gateway.
    #[must_use]
    pub fn gateway_location(&self, number: u32) -> Location {
        self.location(number, self.gateways)
    }

    /// Location of a core switch.
    #[must_use]
    pub fn switch_location(&self, number: u32) -> Location {
        self.location(number, self.switches)
    }

    /// Members of a service are numbered consecutively; consecutive members are in different zones.
    fn location(&self, number: u32, count: u32) -> Location {
        let service = u64::from(number) * u64::from(self.services) / u64::from(count.max(1));
        let zone = number % self.zones;
        let rack = number / self.zones % RACKS_PER_ZONE;
        // The casts lose nothing: service and region are less than the counts that they are derived from.
        Location { service: service as u32, zone, region: zone * self.regions / self.zones, rack }
    }

    /// Number of core switches that the gateways of a service see.
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
            return Err(HollowError::Scenario { field: name, wanted: "at least 1" });
        }
        if self.services > self.gateways.min(self.switches) {
            return Err(HollowError::Scenario {
                field: "services",
                wanted: "at most the number of gateways and of switches",
            });
        }
        if self.regions > self.zones {
            return Err(HollowError::Scenario { field: "regions", wanted: "at most the number of zones" });
        }
        if self.traffic.gateways != self.gateways {
            return Err(HollowError::Scenario { field: "traffic.gateways", wanted: "equal to gateways" });
        }
        if self.measured < Duration::from_secs(1) {
            return Err(HollowError::Scenario { field: "measured", wanted: "at least one second" });
        }
        Ok(())
    }
}
