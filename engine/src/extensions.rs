//! Configuration of interceptors, by type. The engine carries it without knowing what it contains.

use std::any::{Any, TypeId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The configuration of one interceptor, as read from a file of its own.
pub trait Extension: Any + std::fmt::Debug + Send + Sync {}

/// The configurations of all interceptors, by type; at most one of each type.
#[derive(Clone, Debug, Default)]
pub struct Extensions(BTreeMap<TypeId, Arc<dyn Extension>>);

impl Extensions {
    /// Adds a value, replacing the previous one of its type.
    pub fn set<E: Extension>(&mut self, extension: E) {
        self.0.insert(TypeId::of::<E>(), Arc::new(extension));
    }

    /// The value of this type, if there is one.
    pub fn get<E: Extension>(&self) -> Option<&E> {
        let extension: &dyn Any = &**self.0.get(&TypeId::of::<E>())?;
        extension.downcast_ref()
    }

    /// Merges the values of a reloaded configuration: of each type that is present here, the new value, or the old
    /// one where there is none. Also returns whether there were values of other types, which are ignored.
    pub(crate) fn merged_on_reload(&self, mut new: Extensions) -> (Extensions, bool) {
        let (mut merged, mut has_new_types) = (self.clone(), false);
        for (id, extension) in std::mem::take(&mut new.0) {
            match merged.0.get_mut(&id) {
                Some(old) => *old = extension,
                None => has_new_types = true,
            }
        }
        (merged, has_new_types)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Debug, PartialEq)]
    struct First(u32);
    #[derive(Debug, PartialEq)]
    struct Second(u32);
    impl Extension for First {}
    impl Extension for Second {}

    #[test]
    fn reload_replaces_only_present_types() {
        let (mut old, mut new) = (Extensions::default(), Extensions::default());
        old.set(First(1));
        new.set(First(2));
        new.set(Second(3));
        let (merged, has_new_types) = old.merged_on_reload(new);
        assert!(has_new_types);
        assert_eq!((merged.get::<First>(), merged.get::<Second>()), (Some(&First(2)), None));
        let (merged, has_new_types) = old.merged_on_reload(Extensions::default());
        assert!(!has_new_types);
        assert_eq!(merged.get::<First>(), Some(&First(1)));
    }
}
