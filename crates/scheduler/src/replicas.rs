//! The table of replicas, updated from the endpoint list.

use crate::replica::Replica;
use crate::types::{LifecycleRules, ReplicaId, Seconds};
use std::collections::BTreeMap;

/// All replicas that are listed or have attempts of this router in flight.
#[derive(Default)]
pub(crate) struct ReplicaTable {
    replicas: BTreeMap<ReplicaId, Replica>,
}

impl ReplicaTable {
    pub(crate) fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.replicas.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: ReplicaId) -> Option<&mut Replica> {
        self.replicas.get_mut(&id)
    }

    pub(crate) fn get_or_insert(&mut self, id: ReplicaId) -> &mut Replica {
        self.replicas.entry(id).or_insert_with(|| Replica::new(id))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ReplicaId, &Replica)> {
        self.replicas.iter().map(|(id, replica)| (*id, replica))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (ReplicaId, &mut Replica)> {
        self.replicas.iter_mut().map(|(id, replica)| (*id, replica))
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.replicas.len()
    }

    pub(crate) fn mark_all_removed(&mut self) {
        for replica in self.replicas.values_mut() {
            replica.mark_removed();
        }
    }

    /// Deletes removed replicas without attempts in flight. Replicas are replaced continually, so the table would grow
    /// without limit otherwise.
    pub(crate) fn purge_removed(&mut self) {
        let is_needed = |replica: &Replica| !replica.is_removed() || replica.in_flight() > 0;
        self.replicas.retain(|_, replica| is_needed(replica));
    }

    pub(crate) fn available(&self) -> impl Iterator<Item = &Replica> {
        self.values().filter(|replica| replica.is_available())
    }

    /// Available replicas that have finished slow start.
    fn warm<'a>(
        &'a self,
        rules: &'a LifecycleRules,
        now: Seconds,
    ) -> impl Iterator<Item = &'a Replica> {
        self.available()
            .filter(move |replica| replica.is_warm(rules, now))
    }

    pub(crate) fn warm_count(&self, rules: &LifecycleRules, now: Seconds) -> usize {
        self.warm(rules, now).count()
    }

    /// This router's attempts in flight at warm replicas, to which the concurrency limit applies.
    pub(crate) fn in_flight_at_warm(&self, rules: &LifecycleRules, now: Seconds) -> usize {
        self.warm(rules, now).map(Replica::in_flight).sum()
    }

    /// The estimated mean number of attempts that all other routers have in flight at a replica, if each router has as many
    /// as this one.
    pub(crate) fn mean_in_flight_of_others(&self, router_count: usize) -> f64 {
        let mut in_flight = 0;
        let mut available: usize = 0;
        for replica in self.available() {
            in_flight += replica.in_flight();
            available += 1;
        }
        (router_count - 1) as f64 * in_flight as f64 / available.max(1) as f64
    }

    pub(crate) fn has_probe_in_flight(&self) -> bool {
        self.values().any(|replica| replica.probe.is_in_flight())
    }
}
