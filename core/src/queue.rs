//! Weighted fair queue across workspaces, with strict priority classes and aging.

use indexmap::IndexMap;

use crate::ids::{CallKey, WorkspaceName};

/// Queueing time after which a call is promoted by one priority class.
pub const AGING_INTERVAL_MS: u64 = 2_000;

/// Fixed-point scale of work per weight, so that integer division keeps fractions.
const WORK_SCALE: u64 = 1 << 10;

/// A call that waits to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// Key of the call.
    pub key: CallKey,
    /// Priority class, 0 is the most urgent.
    pub priority: u32,
    /// Estimated work in tokens.
    pub work_tokens: u32,
    /// Weight of its workspace; values below 1 count as 1.
    pub weight: u32,
    /// Time at which the call expires.
    pub deadline_ms: u64,
    /// Time at which the call was queued.
    pub queued_at_ms: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    call: QueuedCall,
    start_tag: u64,
}

/// Start-time fair queue: the call with the smallest start tag in the most urgent class runs next.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    entries: IndexMap<CallKey, Entry>,
    virtual_time: u64,
    finish_tags: IndexMap<WorkspaceName, u64>,
    work_tokens: u64,
}

impl FairQueue {
    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the work of all queued calls in tokens.
    pub fn work_tokens(&self) -> u64 {
        self.work_tokens
    }

    /// Returns the number of queued calls of a workspace.
    pub fn queued_count(&self, workspace: &WorkspaceName) -> usize {
        self.entries.keys().filter(|key| key.workspace == *workspace).count()
    }

    /// Returns the workspace with the most queued work per weight, and that work.
    pub fn most_loaded(&self) -> Option<(WorkspaceName, u64)> {
        let mut loads: IndexMap<&WorkspaceName, u64> = IndexMap::new();
        for (key, entry) in &self.entries {
            let call = &entry.call;
            let load = u64::from(call.work_tokens) * WORK_SCALE / u64::from(call.weight.max(1));
            *loads.entry(&key.workspace).or_default() += load;
        }
        loads.into_iter().max_by_key(|&(_, load)| load).map(|(name, load)| (name.clone(), load))
    }

    /// Returns the queued work of a workspace per weight.
    pub fn workspace_load(&self, workspace: &WorkspaceName) -> u64 {
        let own = self.entries.iter().filter(|(key, _)| key.workspace == *workspace);
        own.map(|(_, e)| {
            u64::from(e.call.work_tokens) * WORK_SCALE / u64::from(e.call.weight.max(1))
        })
        .sum()
    }

    /// Returns the most recently queued call of a workspace.
    pub fn newest_call(&self, workspace: &WorkspaceName) -> Option<CallKey> {
        self.entries.keys().rev().find(|key| key.workspace == *workspace).cloned()
    }

    /// Adds a call.
    pub fn push(&mut self, call: QueuedCall) {
        let workspace = call.key.workspace.clone();
        let last_finish = self.finish_tags.get(&workspace).copied().unwrap_or(0);
        let start_tag = last_finish.max(self.virtual_time);
        let work = u64::from(call.work_tokens.max(1)) * WORK_SCALE;
        let finish_tag = start_tag + work / u64::from(call.weight.max(1));
        self.finish_tags.insert(workspace, finish_tag);
        self.work_tokens += u64::from(call.work_tokens);
        self.entries.insert(call.key.clone(), Entry { call, start_tag });
    }

    /// Removes and returns the next call to run.
    pub fn pop(&mut self, now_ms: u64) -> Option<QueuedCall> {
        let key = self.next_key(now_ms)?;
        let entry = self.remove_entry(&key)?;
        self.virtual_time = self.virtual_time.max(entry.start_tag);
        self.remove_idle_workspaces();
        Some(entry.call)
    }

    /// Removes and returns a call, regardless of its position.
    pub fn remove(&mut self, key: &CallKey) -> Option<QueuedCall> {
        self.remove_entry(key).map(|entry| entry.call)
    }

    /// Removes and returns all calls whose deadline has passed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<QueuedCall> {
        self.remove_all(|call| call.deadline_ms <= now_ms)
    }

    /// Removes and returns all calls whose deadline lies after `end_ms`.
    pub fn remove_due_after(&mut self, end_ms: u64) -> Vec<QueuedCall> {
        self.remove_all(|call| call.deadline_ms > end_ms)
    }

    fn remove_all(&mut self, is_removed: impl Fn(&QueuedCall) -> bool) -> Vec<QueuedCall> {
        let removed = self.entries.values().filter(|e| is_removed(&e.call));
        let removed: Vec<CallKey> = removed.map(|e| e.call.key.clone()).collect();
        removed.iter().filter_map(|key| self.remove(key)).collect()
    }

    fn next_key(&self, now_ms: u64) -> Option<CallKey> {
        let rank = |e: &Entry| {
            let waited_ms = now_ms.saturating_sub(e.call.queued_at_ms);
            let class = u64::from(e.call.priority).saturating_sub(waited_ms / AGING_INTERVAL_MS);
            (class, e.start_tag)
        };
        self.entries.values().min_by_key(|e| rank(e)).map(|e| e.call.key.clone())
    }

    fn remove_entry(&mut self, key: &CallKey) -> Option<Entry> {
        let entry = self.entries.shift_remove(key)?;
        self.work_tokens -= u64::from(entry.call.work_tokens);
        Some(entry)
    }

    /// Drops finish tags that no longer delay a workspace, which bounds their number.
    fn remove_idle_workspaces(&mut self) {
        let now = self.virtual_time;
        self.finish_tags.retain(|_, tag| *tag > now);
    }
}
