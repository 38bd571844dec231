//go:build review2

package main

import (
	"fmt"
	"time"
)

// controlReplaced replaces two of three control VMs, one after the other. The second one is lost
// only when the first one's successor has had its time to catch up.
func controlReplaced(f *fleet, trouble bool) (bool, error) {
	for n := range 3 {
		f.add("control", n+1)
	}
	f.add("router", 1)
	f.add("router", 2)
	if err := f.startAll(); err != nil {
		return false, err
	}
	o := &operator{fleet: f}
	if !o.put(firstState(1), 15*time.Second) {
		return false, fmt.Errorf("the first desired state wasn't acknowledged")
	}
	newest := int64(1)
	for n := range 2 {
		if trouble {
			if err := f.replaceControl(f.vms[n], 4+n); err != nil {
				return false, err
			}
		}
		// The successor has catch-up-s from its start, and the core is stable contact-ms
		// after that.
		time.Sleep(catchUp + contact)
		if o.put(firstState(newest+1), 25*time.Second) {
			newest++
		} else if n == 0 {
			return false, fmt.Errorf("control wasn't repaired after the first loss")
		}
	}
	got := o.read(30 * time.Second)
	f.record.line("newest acknowledged desired state: %d, read back: %d", newest, got)
	return got < newest, nil
}

// replaceControl loses a control VM for good and starts an empty one at another address a second
// later.
func (f *fleet) replaceControl(v *vm, number int) error {
	f.lose(v)
	time.Sleep(time.Second)
	f.seeds = nil
	for _, c := range f.running("control") {
		f.seeds = append(f.seeds, f.address(c, f.control))
	}
	return f.start(f.add("control", number), false)
}
