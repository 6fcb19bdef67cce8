package main

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// ledgerLeader returns the store machine that has last logged that it leads.
func ledgerLeader(d *deployment) *machine {
	var leader *machine
	latest := ""
	for _, m := range d.of("store") {
		data, err := os.ReadFile(filepath.Join(m.dir, "log"))
		if err != nil {
			continue
		}
		for line := range bytes.Lines(data) {
			if !bytes.Contains(line, []byte("event=ledger_leading")) {
				continue
			}
			// Lines begin with the time.
			if at := string(line[:min(len(line), 40)]); at > latest {
				latest, leader = at, m
			}
		}
	}
	return leader
}

// caseVoters replaces a store machine by an empty one, retires the machine that leads the stores,
// and takes the disk of one store machine after the loss of the first one has stopped counting.
func caseVoters(rec *recorder, root string, trouble bool) int {
	d, err := newDeployment(rec, root, 5, 3, 2)
	if err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	op := newOperator(d)
	if err := op.put(manifest(7, false, true), 15*time.Second); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	// A store machine is added.
	if err := d.add("store", 2, 4, false).start(); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	ran := &runs{}
	for n := range 3 {
		w, err := startWorker(d, n+1, "huvo11a", 12, streamTurn(ran))
		if err != nil {
			rec.say("cannot run: %v", err)
			return 2
		}
		defer w.end()
	}
	load := startLoad(rec, d.of("entry"))
	defer load.end()
	time.Sleep(10 * time.Second)
	leader := ledgerLeader(d)
	if leader == nil {
		rec.say("cannot run: no store machine leads")
		return 2
	}
	var others []*machine
	for _, m := range d.of("store")[:3] {
		if m != leader {
			others = append(others, m)
		}
	}
	replaced, victim := others[0], others[1]
	// One store machine is gone for good, and an empty one comes at another address.
	t0 := time.Now()
	rec.say("%s leads; %s is gone for good", leader.name, replaced.name)
	replaced.kill()
	time.Sleep(time.Second)
	successor := d.add("store", 2, 5, false)
	if err := successor.start(); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	// The loss counts until catch_up_s (4 s) after the start of the successor.
	time.Sleep(time.Until(t0.Add(2 * time.Second)))
	if trouble {
		// The operator has the machine that leads the stores emptied and takes it away.
		status, text, err := op.call(http.MethodPost, "/api/retire/"+leader.name+"/start", []byte(`{"deadline_s":10}`), 2*time.Second)
		if err != nil || status != http.StatusOK {
			rec.say("cannot run: retirement: %d %s %v", status, text, err)
			return 2
		}
		for state := ""; state != "done"; time.Sleep(50 * time.Millisecond) {
			if time.Since(t0) > 5*time.Second {
				rec.say("cannot run: the retirement is not done in 3 s")
				return 2
			}
			if state, err = op.retireState(leader.name); err != nil {
				rec.say("the state of the retirement: %v", err)
			}
		}
		rec.say("the retirement of %s is done %d ms after the loss; the machine is removed", leader.name, time.Since(t0).Milliseconds())
		leader.kill()
	}
	time.Sleep(time.Until(t0.Add(5200 * time.Millisecond)))
	before := rec.now()
	n, of := load.served(before-2*time.Second, before)
	rec.say("%d of %d requests of the last 2 s were served; %s loses its disk", n, of, victim.name)
	victim.kill()
	if err := victim.wipe(); err != nil {
		return 2
	}
	time.Sleep(time.Second)
	if err := victim.start(); err != nil {
		return 2
	}
	return load.judgeRecovery(before, rec.now())
}
