//! Replaces the settings in force with new ones.

use crate::error::SettingsUpdateError;
use crate::SiteSettings;
use poppykeel_scheduler::RequestClass;

/// Maximum number of class indices in a process. Each new or changed class occupies one.
const MAX_CLASS_INDICES: usize = 1024;

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

/// Checks the keys that determine the indices of replicas and tenants. These indices stay valid until the process ends.
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

/// Reactivates the index that the same class has already had, or adds a new index for the class.
fn add_class(
    settings: &mut SiteSettings,
    name: String,
    class: RequestClass,
) -> Result<(), SettingsUpdateError> {
    let names = &mut settings.names;
    let classes = &mut settings.scheduler.classes;
    let is_known = |i: &usize| names.classes[*i] == name && classes[*i] == class;
    let index = (0..names.classes.len()).find(is_known);
    if let Some(index) = index {
        names.retired_classes.retain(|retired| *retired != index);
    } else if names.classes.len() < MAX_CLASS_INDICES {
        names.classes.push(name);
        classes.push(class);
    } else {
        return Err(SettingsUpdateError::TooManyClasses {
            limit: MAX_CLASS_INDICES,
        });
    }
    Ok(())
}
