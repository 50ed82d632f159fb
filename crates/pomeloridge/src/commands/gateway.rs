//! `pomeloridge gateway`.

use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;

use pomeloridge_base::clock::SystemClock;
use pomeloridge_base::settings::{GATEWAY_SETTINGS, GivenSetting, SettingValues, load_table};
use pomeloridge_gateway::GatewayParts;

use super::check::report;
use super::fail;
use crate::logging::{self, Output};
use crate::metrics::Metrics;

/// Runs a gateway until it has shut down.
pub(crate) fn run(path: &Path, further: Vec<GivenSetting>) -> ExitCode {
    let settings = match load_table(path, &further, GATEWAY_SETTINGS) {
        Ok(settings) => settings,
        Err(problems) => return report(path, &problems),
    };
    let output = Output {
        open: || Box::new(std::io::stdout()),
        max_per_second: settings.number("log", "lines_per_s"),
    };
    let writer = match logging::start(&settings, output) {
        Ok(writer) => writer,
        Err(error) => return fail(&format!("logging cannot start: {error}")),
    };
    let result = gateway_parts(path, further, settings).and_then(pomeloridge_gateway::run);
    drop(writer);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn gateway_parts(
    path: &Path,
    further: Vec<GivenSetting>,
    settings: SettingValues,
) -> Result<GatewayParts, String> {
    let path = path.to_owned();
    let reload_settings = move || {
        load_table(&path, &further, GATEWAY_SETTINGS).map_err(|problems| {
            let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
            problems.join("; ")
        })
    };
    let metrics = Metrics::new()?;
    let duties = settings.address("platform", "duties");
    Ok(GatewayParts {
        ports: pomeloridge_fleet_adapter::ports(duties),
        clock: Rc::new(SystemClock),
        meter: metrics.meter.clone(),
        metrics: Box::new(move || metrics.render()),
        reload_settings: Box::new(reload_settings),
        settings,
    })
}
