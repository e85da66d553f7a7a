package ownership

import "github.com/pollenpier/pollenpier/internal/entity"

func (s *State) applyHotKeys(offset entity.Offset, r HotKeys) Verdict {
	service, known := s.services[r.Service]
	if !known || service.view.Version != r.Version {
		return dropped(DropVersion)
	}
	if reason := service.view.checkHotKeys(r); reason != "" {
		return dropped(reason)
	}
	view := service.edit()
	for _, hash := range r.Remove {
		view.Owners[view.Hot[hash]] = Owner{}
		delete(view.Hot, hash)
	}
	used := view.virtualInUse()
	slot := entity.Partition(view.Count)
	for _, hash := range r.Add {
		for used[slot] {
			slot++
		}
		used[slot] = true
		view.addHotKey(offset, hash, slot)
	}
	view.trimVirtual(used)
	view.Version = entity.Epoch(offset)
	return applied()
}

// checkHotKeys returns the reason to drop the record. It is empty if the record is to be applied.
func (v *ServiceView) checkHotKeys(r HotKeys) DropReason {
	if len(r.Add)+len(r.Remove) == 0 || len(v.Hot)-len(r.Remove)+len(r.Add) > MaxHotKeys {
		return DropInvalid
	}
	seen := make(map[entity.KeyHash]bool, len(r.Add)+len(r.Remove))
	for _, hash := range r.Remove {
		partition, hot := v.Hot[hash]
		if !hot || seen[hash] {
			return DropInvalid
		}
		seen[hash] = true
		base, virtualOwner := v.Owners[entity.PartitionOf(hash, v.Count)], v.Owners[partition]
		if base.Moving() || virtualOwner.Moving() || base.Backend != virtualOwner.Backend {
			return DropOwnersDiffer
		}
	}
	for _, hash := range r.Add {
		if _, hot := v.Hot[hash]; hot || seen[hash] {
			return DropInvalid
		}
		seen[hash] = true
		base := v.Owners[entity.PartitionOf(hash, v.Count)]
		if base.Moving() || base.Backend == "" {
			return DropBaseMoving
		}
	}
	return ""
}

// addHotKey creates a virtual partition with the owner of the key's base partition, so that the owner of the key does not change.
func (v *ServiceView) addHotKey(offset entity.Offset, hash entity.KeyHash, slot entity.Partition) {
	for int(slot) >= len(v.Owners) {
		v.Owners = append(v.Owners, Owner{})
	}
	base := v.Owners[entity.PartitionOf(hash, v.Count)]
	v.Owners[slot] = Owner{Backend: base.Backend, Epoch: entity.Epoch(offset)}
	v.Hot[hash] = slot
}

// trimVirtual removes unused virtual partitions from the end. A later one with the same number gets a higher epoch.
func (v *ServiceView) trimVirtual(used map[entity.Partition]bool) {
	end := len(v.Owners)
	for end > int(v.Count) && !used[entity.Partition(end-1)] {
		end--
	}
	v.Owners = v.Owners[:end]
}
