package faultrig

// This file applies a scenario's events.

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"dunereach/emulator/scenario"
)

// RunEvents applies the scenario's events and waits until the fleet has recovered.
func (r *Rig) RunEvents() error {
	for k, e := range r.file.Events {
		if err := r.waitFor(e.Condition); err != nil {
			return fmt.Errorf("event %d, %s %s: %v", k, e.Action, e.Target, err)
		}
		time.Sleep(time.Duration(e.After * 1e9)) // a delay of the scenario, not a wait for a condition
		if o := r.Owner(); o != "" {
			r.lastOwner = o
		}
		if err := r.apply(e); err != nil {
			return fmt.Errorf("event %d, %v", k, err)
		}
	}
	if r.file.Coordinators == 0 {
		return nil
	}
	if err := r.waitUntil(r.file.SettleTime, func() bool { return r.audit.checkGranted() == nil }); err != nil {
		return fmt.Errorf("not recovered after the last fault: %v", r.audit.checkGranted())
	}
	return nil
}

// apply applies an event to all processes that it names.
func (r *Rig) apply(e scenario.Event) error {
	targets := r.file.Resolve(e.Target, r)
	r.logf("%s %s %s", e.Action, strings.Join(targets, ","), e.LinkEnd)
	for _, name := range targets {
		if e.Action == "cut" || e.Action == "hold" {
			r.applyToLinks(e, name)
			continue
		}
		if err := r.Do(e.Action, name); err != nil {
			return fmt.Errorf("%s %s: %v", e.Action, name, err)
		}
	}
	if e.Action == "heal" {
		r.Heal()
	}
	return nil
}

// applyToLinks applies an event to the links from one process to all others that it names.
func (r *Rig) applyToLinks(e scenario.Event, from string) {
	for _, to := range r.file.Resolve(e.LinkEnd, r) {
		r.InjectLinkFault(e.Action, from, to, e.Duration)
		if e.BothWays {
			r.InjectLinkFault(e.Action, to, from, e.Duration)
		}
	}
}

// waitFor waits for the condition of an event.
func (r *Rig) waitFor(condition string) error {
	const maxWait = 60.0
	reached := func() bool {
		switch condition {
		case "owned", "dealt":
			return r.audit.checkOwned(condition == "dealt") == nil
		case "moved":
			o := r.Owner()
			return o != "" && o != r.lastOwner
		case "lost":
			return r.Leader() == ""
		}
		return true
	}
	if err := r.waitUntil(maxWait, reached); err != nil {
		return fmt.Errorf("condition %s not met: %v", condition, r.audit.checkOwned(false))
	}
	return nil
}

// waitUntil polls a condition until it holds or the time is over.
func (r *Rig) waitUntil(seconds float64, reached func() bool) error {
	for end := time.Now().Add(time.Duration(seconds * 1e9)); !reached(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("time limit exceeded")
		}
	}
	return nil
}
