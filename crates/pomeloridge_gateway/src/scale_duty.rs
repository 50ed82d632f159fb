//! The duty of ordering servers: brings each service's numbers to their targets.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_platform::{Authority, PlatformError};
use pomeloridge_policy::scaling::{CentreView, Count, ScalingView, targets};

use crate::config::{ServerScaling, ServingService};
use crate::ports::ScaleOrder;
use crate::state::State;

/// Pause between two looks at the numbers.
const PAUSE: Duration = Duration::from_millis(500);
/// Time beyond a server's start after which an order without effect is repeated.
const REPEAT_MARGIN: Duration = Duration::from_secs(3);
/// Pause before servers are ordered again that could not be had; doubles each time.
const SOLD_OUT_PAUSE: Duration = Duration::from_secs(3);
/// Doublings of that pause at most.
const SOLD_OUT_DOUBLINGS: u32 = 3;
/// Time after the first entry of a server by which those of all live ones are there.
const SETTLE: Duration = Duration::from_secs(3);

/// What is ordered apart: a service's servers of one kind in one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Line {
    service: Name,
    data_centre: Name,
    cheap: bool,
}

impl Line {
    fn new(service: &ServingService, data_centre: &Name, cheap: bool) -> Self {
        Self {
            service: service.name.clone(),
            data_centre: data_centre.clone(),
            cheap,
        }
    }
}

/// The last order of a line.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    servers: u32,
    at: Instant,
    /// Times in a row that none could be had.
    sold_out: u32,
}

impl Ordered {
    /// Whether none are to be had for now.
    fn is_sold_out(&self, now: Instant) -> bool {
        let doublings = self.sold_out.saturating_sub(1).min(SOLD_OUT_DOUBLINGS);
        let pause = SOLD_OUT_PAUSE * 2_u32.pow(doublings);
        self.sold_out > 0 && now.saturating_duration_since(self.at) <= pause
    }
}

#[derive(Default)]
struct Scaler {
    /// When the first server was seen.
    first_seen: Option<Instant>,
    ordered: HashMap<Line, Ordered>,
}

/// Orders servers while this node holds the duties.
pub(crate) async fn run(state: Rc<State>, authority: Authority) {
    let mut scaler = Scaler::default();
    let mut epoch = None;
    loop {
        monoio::time::sleep(PAUSE).await;
        // Looked at by every node, so that a later holder knows that its list is whole.
        let settled = scaler.settled(&state);
        if !authority.holds() {
            continue;
        }
        if epoch.replace(authority.epoch()) != Some(authority.epoch()) {
            scaler.ordered.clear();
        }
        let Some(config) = state.config() else {
            continue;
        };
        for service in config.services.values() {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let ordered = if settled {
                scaler.bring(&state, &authority, service, scaling).await
            } else {
                scaler
                    .order_early(&state, &authority, service, scaling)
                    .await
            };
            if let Err(error) = ordered {
                log::warn!(
                    "scale service={} outcome=failed reason=\"{error}\"",
                    service.name
                );
            }
        }
    }
}

impl Scaler {
    /// Whether the list of servers is whole; nothing is ordered by a part of it.
    fn settled(&mut self, state: &State) -> bool {
        let now = state.now();
        if self.first_seen.is_none() && state.register.borrow().servers().next().is_some() {
            self.first_seen = Some(now);
        }
        let settled = |at| now.saturating_duration_since(at) >= SETTLE;
        self.first_seen.is_some_and(settled)
    }

    /// Orders cheap servers that fit whatever else turns out to be there.
    async fn order_early(
        &mut self,
        state: &State,
        authority: &Authority,
        service: &ServingService,
        scaling: &ServerScaling,
    ) -> Result<(), PlatformError> {
        let servers = scaling.max / 2;
        if !state.bootstrap() || scaling.preemptible_price_ratio.is_none() || servers == 0 {
            return Ok(());
        }
        for (data_centre, _) in &scaling.prices {
            let line = Line::new(service, data_centre, true);
            if !self.ordered.contains_key(&line) {
                self.order(state, authority, line, servers).await?;
            }
        }
        Ok(())
    }

    async fn bring(
        &mut self,
        state: &State,
        authority: &Authority,
        service: &ServingService,
        scaling: &ServerScaling,
    ) -> Result<(), PlatformError> {
        let view = self.view(state, service, scaling);
        let targets = targets(&view);
        for (target, centre) in targets.iter().zip(&view.centres) {
            // Room is made before it is filled: the bounds hold for both kinds together.
            for cheap in [false, true] {
                if cheap && centre.sold_out {
                    continue;
                }
                let wanted = if cheap { target.cheap } else { target.steady };
                let line = Line::new(service, &target.data_centre, cheap);
                let count = if cheap { centre.cheap } else { centre.steady };
                if self.is_due(&line, wanted, count.there, scaling, state.now()) {
                    self.order(state, authority, line, wanted).await?;
                }
            }
        }
        Ok(())
    }

    fn is_due(
        &self,
        line: &Line,
        wanted: u32,
        there: u32,
        scaling: &ServerScaling,
        now: Instant,
    ) -> bool {
        match self.ordered.get(line) {
            None => wanted != there,
            Some(last) if last.sold_out > 0 => wanted != there && !last.is_sold_out(now),
            Some(last) if last.servers != wanted => true,
            Some(last) => {
                let age = now.saturating_duration_since(last.at);
                wanted != there && age > scaling.boot_time + REPEAT_MARGIN
            }
        }
    }

    fn is_sold_out(&self, line: &Line, now: Instant) -> bool {
        let last = self.ordered.get(line);
        last.is_some_and(|last| last.is_sold_out(now))
    }

    async fn order(
        &mut self,
        state: &State,
        authority: &Authority,
        line: Line,
        servers: u32,
    ) -> Result<(), PlatformError> {
        let permit = authority.permit().ok_or(PlatformError::Lapsed)?;
        let now = state.now();
        let order = ScaleOrder {
            service: line.service.clone(),
            data_centre: line.data_centre.clone(),
            servers,
            preemptible: line.cheap,
            holder: state.name.clone(),
            epoch: permit.epoch(),
        };
        let allowed = Box::new(move || permit.allowed());
        let ordered = (state.ports.duty.scale)(order.clone(), allowed);
        let outcome = state.duty_call(ordered).await;
        // The platform has one status for a stale fence and for "none are to be had". A fence
        // whose holder still has its lease is not stale.
        let sold_out = matches!(outcome, Err(PlatformError::Stale)) && authority.holds();
        log::info!(
            "scale service={} data_centre={} cheap={} servers={servers} epoch={} outcome={}",
            line.service,
            line.data_centre,
            line.cheap,
            order.epoch,
            match &outcome {
                Ok(()) => "ordered".to_owned(),
                Err(_) if sold_out => "sold_out".to_owned(),
                Err(error) => format!("\"{error}\""),
            }
        );
        let refused = self.ordered.get(&line).map_or(0, |last| last.sold_out);
        if !sold_out {
            outcome?;
        }
        let ordered = Ordered {
            servers,
            at: now,
            sold_out: if sold_out { refused + 1 } else { 0 },
        };
        self.ordered.insert(line, ordered);
        Ok(())
    }

    fn view(
        &self,
        state: &State,
        service: &ServingService,
        scaling: &ServerScaling,
    ) -> ScalingView {
        let now = state.now();
        let register = state.register.borrow();
        let count = |data_centre: &Name, cheap: bool| {
            let there = register.servers().filter(|server| {
                server.service == service.name
                    && !server.leaving
                    && server.data_centre == *data_centre
                    && server.cheap == cheap
            });
            let there = there.count() as u32;
            let line = Line::new(service, data_centre, cheap);
            let coming = self.ordered.get(&line).filter(|last| {
                let age = now.saturating_duration_since(last.at);
                last.sold_out == 0 && age < scaling.boot_time + REPEAT_MARGIN
            });
            Count {
                there,
                expected: coming.map_or(there, |last| last.servers.max(there)),
            }
        };
        let centres = scaling.prices.iter().map(|(data_centre, _)| CentreView {
            data_centre: data_centre.clone(),
            steady: count(data_centre, false),
            cheap: count(data_centre, true),
            sold_out: self.is_sold_out(&Line::new(service, data_centre, true), now),
        });
        ScalingView {
            centres: centres.collect(),
            min: scaling.min,
            max: scaling.max,
            has_cheap: scaling.preemptible_price_ratio.is_some(),
            load: state.stage_load(&service.name).total(),
        }
    }
}
