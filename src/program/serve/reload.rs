//! Reloads the settings of a running node at SIGHUP.
//!
//! All settings are validated before any is applied, and rejected settings change nothing: an invalid file must not take
//! down a node that serves with the previous valid one.

use super::error::ReloadError;
use super::node::Node;
use super::ServeSettings;
use crate::program::files::SettingsFileError;
use crate::transport::messages::DispatcherMessage;
use poppykeel_site_settings::SiteSettings;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Settings that may replace the current ones.
struct ValidatedSettings {
    settings: ServeSettings,
    /// The new site settings, in which each class of the current settings keeps its index.
    site: Rc<SiteSettings>,
}

impl Node {
    /// Rereads the settings and applies them if they are valid. Logs and counts the result.
    pub(super) async fn reload(
        &mut self,
        reread_settings: impl Fn() -> Result<ServeSettings, SettingsFileError>,
    ) {
        let mut reloads = self.admin.reloads.get();
        match self.validate_new_settings(reread_settings) {
            Ok(validated) => {
                self.apply_settings(validated).await;
                reloads.success += 1;
            }
            Err(error) => {
                tracing::error!(why = %error, "settings reload failed; keeping the current settings");
                reloads.failure += 1;
            }
        }
        self.admin.reloads.set(reloads);
    }

    /// Rereads the settings and checks that they may replace the current ones. The fleet settings are checked last, and
    /// valid ones are applied here already.
    fn validate_new_settings(
        &self,
        reread_settings: impl Fn() -> Result<ServeSettings, SettingsFileError>,
    ) -> Result<ValidatedSettings, ReloadError> {
        let settings = reread_settings()?;
        settings.node.check_replaces(&self.config)?;
        let site = self.site.updated_to(settings.node.settings.clone())?;
        match (&self.coordination, &settings.operator.fleet) {
            (Some(coordination), Some(fleet)) => {
                let fleet_settings =
                    fleet.coordination_settings(&settings.node.name, &site.names.tenants)?;
                coordination.update(&fleet_settings)?;
            }
            (None, None) => {}
            _ => return Err(ReloadError::FleetTableChanged),
        }
        Ok(ValidatedSettings {
            settings,
            site: Rc::new(site),
        })
    }

    /// Passes new settings to all components that use them, first to the dispatcher: it must know a new class before the
    /// first request of that class arrives.
    async fn apply_settings(&mut self, validated: ValidatedSettings) {
        let ValidatedSettings { settings, site } = validated;
        self.update_dispatcher(site.clone()).await;
        self.clients.set_site(site.clone());
        self.site = site;
        let ServeSettings {
            node: config,
            operator,
        } = settings;
        tracing::info!(node = %config.name, discovery = %config.discovery, "settings reloaded");
        // The dispatcher needs the settings of a new source before the source's watcher reports endpoints.
        let sources = DispatcherMessage::SetEndpointSources(operator.endpoint_source_settings());
        // The send fails only if the dispatcher has ended, and then the node ends too.
        let _ = self.dispatcher.send(sources).await;
        self.list_watcher.set_enabled(operator.uses_endpoint_list());
        self.list_watcher.set_service_addr(config.discovery);
        self.config = config;
        self.srv_watcher.watch(operator.srv_lookup_settings());
        self.stream_monitor.set_settings(operator.stream_settings());
    }

    /// Sends the site settings to the dispatcher and waits until it has applied them.
    async fn update_dispatcher(&self, site: Rc<SiteSettings>) {
        let (applied, applied_receiver) = oneshot::channel();
        let update = DispatcherMessage::UpdateSettings {
            settings: site,
            applied,
        };
        if self.dispatcher.send(update).await.is_ok() {
            // An error means that the dispatcher has ended, and then the node ends too.
            let _ = applied_receiver.await;
        }
    }
}
