//! Orders to evacuate availability zones, and their state, at coordinators.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Result, bail};
use serde_json::Value;
use ureq::Agent;

/// Timeout of one call. Above the time in which a coordinator commits an order or answers that it cannot.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an order that no coordinator has acknowledged fails.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the coordinators are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

const PATH: &str = "/v1/evacuations";

/// Client for the coordinators of a fleet.
pub struct EvacuationClient<'a> {
    agent: Agent,
    addresses: &'a [String],
}

/// State of one zone, added up over the coordinators.
#[derive(Debug, Default)]
struct ZoneTotals {
    /// Number of the newest order that a coordinator knows.
    number: u64,
    /// Answer of that coordinator.
    newest: Value,
    gateways: u64,
    applying: u64,
    running: u64,
}

impl<'a> EvacuationClient<'a> {
    /// Creates a client for the coordinators at these addresses.
    ///
    /// # Errors
    ///
    /// Fails if no address is given.
    pub fn new(addresses: &'a [String]) -> Result<Self> {
        if addresses.is_empty() {
            bail!("no coordinator given: set --control or RADISHPADDLE_CONTROL");
        }
        let config = Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Ok(Self {
            agent: config.into(),
            addresses,
        })
    }

    /// Sends an order to one coordinator after the other until one of them acknowledges it.
    ///
    /// # Errors
    ///
    /// Fails when the order is not valid, or no coordinator acknowledges it in time.
    pub fn order(&self, zone: &str, evacuate: bool) -> Result<String> {
        if zone.is_empty() || zone.contains(|c: char| c == '/' || c == '?' || c == '#' || c <= ' ')
        {
            bail!("{zone:?} is not the name of a zone");
        }
        let operator = std::env::var("USER").unwrap_or_default();
        let deadline = Instant::now() + ORDER_TIMEOUT;
        let mut last_error = String::new();
        while Instant::now() < deadline {
            for address in self.addresses {
                let url = format!("http://{address}{PATH}/{zone}");
                let sent = if evacuate {
                    self.agent
                        .post(url)
                        .header("X-Operator", &operator)
                        .send_empty()
                } else {
                    self.agent
                        .delete(url)
                        .header("X-Operator", &operator)
                        .call()
                };
                match sent {
                    Ok(response) if response.status().is_success() => {
                        let state = if evacuate {
                            "evacuated"
                        } else {
                            "in service again"
                        };
                        return Ok(format!("zone {zone} is {state}; {address} acknowledged it"));
                    }
                    Ok(response) if response.status().as_u16() == 400 => {
                        bail!("{zone:?} is not the name of a zone")
                    }
                    Ok(response) => last_error = format!("{address}: {}", response.status()),
                    Err(error) => last_error = format!("{address}: {error}"),
                }
            }
            std::thread::sleep(RETRY_DELAY);
        }
        bail!("no coordinator acknowledged the order; last error: {last_error}");
    }

    /// Asks all coordinators for the state of the zones. Each one knows the gateways that poll it.
    ///
    /// # Errors
    ///
    /// Fails when no coordinator answers.
    pub fn status(&self) -> Result<String> {
        let mut zones: BTreeMap<String, ZoneTotals> = BTreeMap::new();
        let mut silent = Vec::new();
        for address in self.addresses {
            let Some(page) = self.page(address) else {
                silent.push(address.as_str());
                continue;
            };
            for zone in page["zones"].as_array().into_iter().flatten() {
                let name = zone["zone"].as_str().unwrap_or_default().to_owned();
                zones.entry(name).or_default().add(zone);
            }
        }
        if silent.len() == self.addresses.len() {
            bail!("no coordinator answered: {}", silent.join(", "));
        }
        let mut text = String::new();
        for (zone, totals) in &zones {
            writeln!(text, "{}", totals.line(zone))?;
        }
        if zones.is_empty() {
            writeln!(text, "no zone was ever evacuated")?;
        }
        if !silent.is_empty() {
            writeln!(text, "without an answer: {}", silent.join(", "))?;
        }
        Ok(text.trim_end().to_owned())
    }

    fn page(&self, address: &str) -> Option<Value> {
        let url = format!("http://{address}{PATH}");
        let mut response = self.agent.get(url).call().ok()?;
        if !response.status().is_success() {
            return None;
        }
        serde_json::from_str(&response.body_mut().read_to_string().ok()?).ok()
    }
}

impl ZoneTotals {
    fn add(&mut self, zone: &Value) {
        let number = |field: &str| zone[field].as_u64().unwrap_or(0);
        self.gateways += number("gateways");
        self.running += number("running");
        if number("number") > self.number {
            // Coordinators that lag behind count gateways that apply an older order.
            self.number = number("number");
            self.applying = 0;
            self.newest = zone.clone();
        }
        if number("number") == self.number {
            self.applying += number("applying");
        }
    }

    fn line(&self, zone: &str) -> String {
        let state = if self.newest["evacuated"] == true {
            "evacuated"
        } else {
            "in service"
        };
        let text = |field: &str| self.newest[field].as_str().unwrap_or("unknown").to_owned();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        let since_ms = self.newest["since_ms"].as_u64().unwrap_or(now_ms);
        format!(
            "{zone}: {state} for {} s, ordered by {} at {}, in force at {} of {} gateways, {} requests running there",
            now_ms.saturating_sub(since_ms) / 1_000,
            text("operator"),
            text("accepted_by"),
            self.applying,
            self.gateways,
            self.running
        )
    }
}
