//! The sizes at which series are estimated. Where the requirements allow two interpretations, there is a
//! harder and an easier size.

use crate::design;
use crate::figures::{Cause, Per, Quantity, Report, Role, Series, Size};
use crate::fit::{Fit, estimate};

/// The sizes at which a series is estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct DesignSizes {
    /// The size under the harder interpretation, at which figures are compared with their budgets.
    pub(super) harder: f64,
    /// The size under the easier interpretation, if there are two.
    pub(super) easier: Option<f64>,
}

/// The design sizes for each kind of size. That of the list's length depends on the report, which has it
/// measured.
pub(super) struct DesignSizeTable {
    /// Bytes of a list of all core switches, if the report has a series to estimate it from.
    whole_list_bytes: Option<f64>,
}

impl DesignSizeTable {
    pub(super) fn of_report(report: &Report) -> Self {
        let mut series = report.runs.iter().flat_map(|run| &run.series);
        let whole_list_bytes = series.find(|series| is_list_length(series)).and_then(whole_list_bytes);
        Self { whole_list_bytes }
    }

    pub(super) fn design_sizes(&self, size: Size) -> DesignSizes {
        let (harder, easier) = match size {
            Size::SwitchesSeen => (design::GATEWAYS, Some(design::SWITCHES_PER_SERVICE)),
            Size::Gateways => (design::GATEWAYS, None),
            Size::CallsPerSecond => {
                (design::SET_UPS_PER_SECOND_AT_MAX_DEPTH, Some(design::SET_UPS_PER_SECOND_AT_ONE_HOP))
            }
            Size::Depth => (f64::from(design::DEPTH), Some(1.0)),
            Size::ListBytes => match self.whole_list_bytes {
                Some(bytes) => (bytes, Some(design::MAX_LIST_ANSWER_BYTES)),
                None => (design::MAX_LIST_ANSWER_BYTES, None),
            },
            Size::ChangesPerDay => (design::CHANGES_PER_DAY, None),
        };
        DesignSizes { harder, easier }
    }
}

/// Whether a series gives the bytes of a list over the number of core switches on it.
fn is_list_length(series: &Series) -> bool {
    let Series { role, cause, quantity, per, size, .. } = series;
    (role, cause, quantity, per, size)
        == (&Role::GatewayControl, &Cause::List, &Quantity::BytesIn, &Per::Event, &Size::SwitchesSeen)
}

fn whole_list_bytes(series: &Series) -> Option<f64> {
    let fit = Fit::from_points(&series.points);
    let fit = fit.as_ref().map_err(|error| *error);
    estimate(&series.points, fit, design::GATEWAYS).map(|estimate| estimate.value)
}
