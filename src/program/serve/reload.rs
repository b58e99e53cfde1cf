//! New settings for a running node, read again at SIGHUP.
//!
//! All of them are checked before any is taken, and settings that are rejected change nothing: a faulty file must not take
//! down a node that serves by the good one before it.

use super::error::ReloadError;
use super::node::Node;
use super::ServeSettings;
use crate::program::files::SettingsFileError;
use crate::transport::messages::DispatcherMessage;
use poppykeel_site_settings::SiteSettings;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Settings that may replace those in force.
struct AcceptedSettings {
    settings: ServeSettings,
    /// The site's settings, with the classes of those in force at their positions.
    site: Rc<SiteSettings>,
}

impl Node {
    /// Reads the settings again and takes them if they are right; logs and counts which it was.
    pub(super) async fn reload(
        &mut self,
        read_again: impl Fn() -> Result<ServeSettings, SettingsFileError>,
    ) {
        let mut reloads = self.admin.reloads.get();
        match self.read_settings(read_again) {
            Ok(accepted) => {
                self.apply_settings(accepted).await;
                reloads.success += 1;
            }
            Err(error) => {
                tracing::error!(why = %error, "kept as it was");
                reloads.failure += 1;
            }
        }
        self.admin.reloads.set(reloads);
    }

    /// Reads the settings, checks that they may replace those in force, and passes on those of the fleet.
    fn read_settings(
        &self,
        read_again: impl Fn() -> Result<ServeSettings, SettingsFileError>,
    ) -> Result<AcceptedSettings, ReloadError> {
        let settings = read_again()?;
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
        Ok(AcceptedSettings {
            settings,
            site: Rc::new(site),
        })
    }

    /// Passes new settings on to all that work by them. The dispatcher comes first: a request of a new class must be known
    /// there when it comes.
    async fn apply_settings(&mut self, accepted: AcceptedSettings) {
        let AcceptedSettings { settings, site } = accepted;
        self.update_dispatcher(site.clone()).await;
        self.clients.set_site(site.clone());
        self.site = site;
        let ServeSettings {
            node: config,
            operator,
        } = settings;
        tracing::info!(node = %config.name, discovery = %config.discovery, "read again");
        // The sources come before their watchers: what a new source lists must find its settings.
        let sources = DispatcherMessage::SetEndpointSources(operator.endpoint_source_settings());
        // An error says that the dispatcher has ended, and the node with it.
        let _ = self.dispatcher.send(sources).await;
        self.list_watcher.set_enabled(operator.uses_endpoint_list());
        self.list_watcher.set_service_addr(config.discovery);
        self.config = config;
        self.srv_watcher.watch(operator.srv_lookup_settings());
        self.stream_monitor.set_settings(operator.stream_settings());
    }

    /// Gives the dispatcher the site's settings and waits until it works by them.
    async fn update_dispatcher(&self, site: Rc<SiteSettings>) {
        let (applied, is_applied) = oneshot::channel();
        let update = DispatcherMessage::UpdateSettings {
            settings: site,
            applied,
        };
        if self.dispatcher.send(update).await.is_ok() {
            // An error says that the dispatcher has ended, and the node with it.
            let _ = is_applied.await;
        }
    }
}
