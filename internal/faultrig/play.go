package faultrig

// This file plays a scenario's events.

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"dunereach/emulator/scenario"
)

// Play the scenario's events, and wait until all is as it should be again.
func (r *Rig) Play() error {
	for k, e := range r.file.Events {
		if err := r.wait(e.When); err != nil {
			return fmt.Errorf("event %d, %s %s: %v", k, e.Do, e.Who, err)
		}
		time.Sleep(time.Duration(e.After * 1e9)) // the script's own time: nothing is waited for by it
		if o := r.Owner(); o != "" {
			r.last = o
		}
		if err := r.happen(e); err != nil {
			return fmt.Errorf("event %d, %v", k, err)
		}
	}
	if r.file.Keepers == 0 {
		return nil
	}
	if err := r.until(r.file.Settle, func() bool { return r.audit.whole() == nil }); err != nil {
		return fmt.Errorf("after the last fault: %v", r.audit.whole())
	}
	return nil
}

// happen does an event to all whom it names.
func (r *Rig) happen(e scenario.Event) error {
	whom := r.file.Whom(e.Who, r)
	r.say("%s %s %s", e.Do, strings.Join(whom, ","), e.To)
	for _, name := range whom {
		if e.Do == "cut" || e.Do == "hold" {
			r.linkAll(e, name)
			continue
		}
		if err := r.Do(e.Do, name); err != nil {
			return fmt.Errorf("%s %s: %v", e.Do, name, err)
		}
	}
	if e.Do == "heal" {
		r.Heal()
	}
	return nil
}

// linkAll does an event to the links from one process to all that it names.
func (r *Rig) linkAll(e scenario.Event, from string) {
	for _, to := range r.file.Whom(e.To, r) {
		r.Link(e.Do, from, to, e.For)
		if e.Both {
			r.Link(e.Do, to, from, e.For)
		}
	}
}

// wait for what an event waits for.
func (r *Rig) wait(what string) error {
	const longest = 60.0
	seen := func() bool {
		switch what {
		case "owned", "dealt":
			return r.audit.owned(what == "dealt") == nil
		case "moved":
			o := r.Owner()
			return o != "" && o != r.last
		case "lost":
			return r.Leader() == ""
		}
		return true
	}
	if err := r.until(longest, seen); err != nil {
		return fmt.Errorf("what it waits for (%s) does not come: %v", what, r.audit.owned(false))
	}
	return nil
}

func (r *Rig) until(seconds float64, seen func() bool) error {
	for end := time.Now().Add(time.Duration(seconds * 1e9)); !seen(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("not in time")
		}
	}
	return nil
}
