//! Index from the name of a model, adapter or service to the targets that have it.

use std::collections::HashMap;
use std::sync::Arc;

/// Target slots by name; a name without slots takes no memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotIndex {
    slots: HashMap<Arc<str>, Vec<u32>>,
}

impl SlotIndex {
    /// Returns the slots of a name, in ascending order.
    pub(crate) fn get(&self, name: &str) -> &[u32] {
        self.slots.get(name).map_or(&[], Vec::as_slice)
    }

    /// Adds a slot to a name.
    pub(crate) fn insert(&mut self, name: &Arc<str>, slot: u32) {
        let slots = self.slots.entry(name.clone()).or_default();
        if let Err(position) = slots.binary_search(&slot) {
            slots.insert(position, slot);
        }
    }

    /// Removes a slot from a name.
    pub(crate) fn remove(&mut self, name: &str, slot: u32) {
        let Some(slots) = self.slots.get_mut(name) else {
            return;
        };
        if let Ok(position) = slots.binary_search(&slot) {
            slots.remove(position);
        }
        if slots.is_empty() {
            self.slots.remove(name);
        }
    }

    /// Replaces the names of a slot. Both lists are sorted; equal lists cost only one comparison.
    pub(crate) fn replace(&mut self, slot: u32, old: &[Arc<str>], new: &[Arc<str>]) {
        if old == new {
            return;
        }
        for name in old {
            if new.binary_search(name).is_err() {
                self.remove(name, slot);
            }
        }
        for name in new {
            if old.binary_search(name).is_err() {
                self.insert(name, slot);
            }
        }
    }
}
