//! Tests of the gateway's decision logic, without network and clock.

mod fixtures;
mod test_attempt;
mod test_config;
mod test_crash_confirmation;
mod test_engine_choice;
mod test_engine_limits;
mod test_failure_probes;
mod test_faulty_reports;
mod test_heartbeat_relay;
mod test_late_entries;
mod test_long_prompts;
mod test_members;
mod test_memory_account;
mod test_placement;
mod test_planned_stop;
mod test_prompt_quarantine;
mod test_reachability;
mod test_request_limits;
mod test_request_quarantine;
mod test_reservation_orders;
mod test_store_era;
mod test_stream;
mod test_topic_copies;
mod test_upstream_returns;
mod test_upstreams;
