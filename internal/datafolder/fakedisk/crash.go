package fakedisk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Restart returns the disk as the next process sees it after a restart of the
// process alone; every later call on d fails.
func (d *Disk) Restart() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = true
	next := New()
	next.dirs = maps.Clone(d.dirs)
	next.names = maps.Clone(d.names)
	next.durable = maps.Clone(d.durable)
	return next
}

// Reboot returns the disk in a random state that is possible after a crash of the
// machine; every later call on d fails.
func (d *Disk) Reboot(random *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashed = true
	next := New()
	next.dirs = maps.Clone(d.dirs)
	for _, name := range d.allNames() {
		kept := d.names[name]
		if kept != d.durable[name] && random.IntN(2) == 0 {
			kept = d.durable[name]
		}
		if kept != nil {
			data := kept.dataAfterCrash(random)
			next.names[name] = &inode{data: data, synced: len(data)}
		}
	}
	next.durable = maps.Clone(next.names)
	return next
}

// allNames returns the sorted names of all files, durable or not.
func (d *Disk) allNames() []string {
	all := maps.Clone(d.durable)
	maps.Copy(all, d.names)
	return slices.Sorted(maps.Keys(all))
}

const sectorSize = 512

// dataAfterCrash returns the content of a file after a crash.
func (n *inode) dataAfterCrash(random *rand.Rand) []byte {
	unsynced := len(n.data) - n.synced
	if n.syncFailed || unsynced == 0 {
		return slices.Clone(n.data[:n.synced])
	}
	switch random.IntN(4) {
	case 0:
		return slices.Clone(n.data[:n.synced])
	case 1:
		return slices.Clone(n.data)
	case 2:
		return slices.Clone(n.data[:n.synced+random.IntN(unsynced)])
	default:
		return n.withZeroedSectors(random)
	}
}

// withZeroedSectors returns the content with some of the unsynced sectors zeroed.
func (n *inode) withZeroedSectors(random *rand.Rand) []byte {
	data := slices.Clone(n.data)
	for from := n.synced; from < len(data); {
		next := min((from/sectorSize+1)*sectorSize, len(data))
		if random.IntN(2) == 0 {
			clear(data[from:next])
		}
		from = next
	}
	return data
}

// FlipBit inverts one bit of a file, durably.
func (d *Disk) FlipBit(name string, offset int, bit uint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[name].data[offset] ^= 1 << (bit % 8)
}

// ZeroRange sets a range of bytes of a file to zero, durably, as a lost block would.
func (d *Disk) ZeroRange(name string, from, to int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.names[name].data[from:to])
}

// Truncate truncates a file to size bytes, durably.
func (d *Disk) Truncate(name string, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	n.data = n.data[:size]
	n.synced = min(n.synced, size)
}

// Delete removes a file, durably.
func (d *Disk) Delete(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.names, name)
	delete(d.durable, name)
}

// Crashed reports whether a fault crashed the machine, so that every later call
// fails.
func (d *Disk) Crashed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}
