//! Newer settings in the place of those in force.

use crate::error::SettingsUpdateError;
use crate::SiteSettings;
use poppykeel_scheduler::RequestClass;

/// Classes in use since the start: each change of one takes a position.
const MAX_CLASSES_SINCE_START: usize = 1024;

pub(crate) fn update(
    old: &SiteSettings,
    mut new: SiteSettings,
) -> Result<SiteSettings, SettingsUpdateError> {
    check_fixed_keys(old, &new)?;
    let new_names = std::mem::replace(&mut new.names.classes, old.names.classes.clone());
    let new_classes = std::mem::replace(&mut new.scheduler.classes, old.scheduler.classes.clone());
    new.names.retired_classes = (0..old.names.classes.len()).collect();
    for (name, class) in new_names.into_iter().zip(new_classes) {
        add_class(&mut new, name, class)?;
    }
    Ok(new)
}

/// Replicas and tenants are numbered by their positions in the settings, which hold until the process ends.
fn check_fixed_keys(old: &SiteSettings, new: &SiteSettings) -> Result<(), SettingsUpdateError> {
    let is_same_router = old.scheduler.router_index == new.scheduler.router_index
        && old.scheduler.zone == new.scheduler.zone;
    let keys = [
        ("tenants", old.names.tenants == new.names.tenants),
        ("zones", old.names.zones == new.names.zones),
        ("hostTypes", old.names.host_types == new.names.host_types),
        ("balancers", is_same_router),
    ];
    match keys.into_iter().find(|(_, is_same)| !is_same) {
        Some((key, _)) => Err(SettingsUpdateError::FixedKey { key }),
        None => Ok(()),
    }
}

/// Brings a class back to the position that it has had, or adds a position for it.
fn add_class(
    settings: &mut SiteSettings,
    name: String,
    class: RequestClass,
) -> Result<(), SettingsUpdateError> {
    let names = &mut settings.names;
    let classes = &mut settings.scheduler.classes;
    let is_known = |i: &usize| names.classes[*i] == name && classes[*i] == class;
    let position = (0..names.classes.len()).find(is_known);
    if let Some(position) = position {
        names.retired_classes.retain(|retired| *retired != position);
    } else if names.classes.len() < MAX_CLASSES_SINCE_START {
        names.classes.push(name);
        classes.push(class);
    } else {
        return Err(SettingsUpdateError::TooManyClasses {
            limit: MAX_CLASSES_SINCE_START,
        });
    }
    Ok(())
}
