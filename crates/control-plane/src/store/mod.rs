//! A store.
use fennelgauge_settings::Settings;
use std::rc::Rc;

pub async fn run(_settings: Rc<Settings>) -> anyhow::Result<()> {
    fennelgauge_http::until_stopped().await;
    Ok(())
}
