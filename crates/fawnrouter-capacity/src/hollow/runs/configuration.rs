//! Cost to a gateway of reading a configuration and of detecting a damaged one.

use std::net::SocketAddr;

use fawnrouter_node::Boot;
use serde_json::Value;

use crate::hollow::HollowError;
use crate::hollow::cost::Cost;
use crate::hollow::members::switch_address;
use crate::hollow::meter::{CountingAllocator, Meter};
use crate::platform::{GatewayParameters, ListedSwitch, gateway_configuration};

/// Number of reads; the reported cost is the mean.
const READS: u32 = 20;

/// Cost of reading one configuration.
pub(super) struct ReadCost {
    pub bytes: usize,
    /// Mean of one read.
    pub processor_microseconds: f64,
    pub allocations: f64,
}

/// A configuration whose list has this many core switches.
fn configuration(seed: u64, switches: u32) -> Value {
    let address = SocketAddr::from(([10, 255, 0, 1], 53));
    let parameters = GatewayParameters {
        name: "gateway-0".to_owned(),
        listen: address,
        nameserver: address,
        seed,
        gateways: switches.max(1),
        number: 0,
        descriptors: 1024,
    };
    let row = |number: u32| ListedSwitch {
        id: format!("s-{number:08x}"),
        zone: "zone-0".to_owned(),
        cell: number,
        address: switch_address(number as usize),
        draining: false,
        started_unix_ms: 0,
    };
    let rows: Vec<ListedSwitch> = (0..switches).map(row).collect();
    gateway_configuration(&parameters, 1, &rows)
}

/// Makes the address of the last core switch invalid, so that all before it is read before the damage is
/// found.
fn damaged(mut configuration: Value) -> Value {
    let instances = configuration.pointer_mut("/known/results/0/fleet/instances");
    if let Some(last) = instances.and_then(Value::as_array_mut).and_then(|rows| rows.last_mut()) {
        last["hostPort"] = Value::from("nowhere");
    }
    configuration
}

fn measure_reads(text: &str, allocator: Option<CountingAllocator>) -> (bool, ReadCost) {
    let meter = Meter::new(allocator);
    let mut sum = Cost::default();
    let mut accepted = true;
    for _ in 0..READS {
        let (boot, one_cost) = meter.measure(|| Boot::read(text.as_bytes()));
        accepted &= boot.is_ok();
        sum.add(one_cost);
    }
    const NANOS_PER_MICROSECOND: f64 = 1e3;
    let reads = f64::from(READS);
    let cost = ReadCost {
        bytes: text.len(),
        processor_microseconds: sum.processor_nanos as f64 / NANOS_PER_MICROSECOND / reads,
        allocations: sum.allocations as f64 / reads,
    };
    (accepted, cost)
}

/// Cost of reading a valid configuration.
pub(super) fn read_good(
    seed: u64,
    switches: u32,
    allocator: Option<CountingAllocator>,
) -> Result<ReadCost, HollowError> {
    let text = configuration(seed, switches).to_string();
    Boot::read(text.as_bytes())?;
    Ok(measure_reads(&text, allocator).1)
}

/// Cost of reading a damaged configuration, which must be rejected.
pub(super) fn read_damaged(
    seed: u64,
    switches: u32,
    allocator: Option<CountingAllocator>,
) -> Result<ReadCost, HollowError> {
    let text = damaged(configuration(seed, switches)).to_string();
    match measure_reads(&text, allocator) {
        (false, cost) => Ok(cost),
        (true, _) => Err(HollowError::DamagedConfigurationAccepted),
    }
}
