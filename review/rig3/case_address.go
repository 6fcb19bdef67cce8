package main

import (
	"net/http"
	"time"
)

// caseAddress retires a store machine and takes it away. Later a store machine is replaced by an
// empty one that has the address of the first one; after that another store machine loses its disk.
func caseAddress(rec *recorder, root string, trouble bool) int {
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
	ran := &runs{}
	for n := range 3 {
		w, err := startWorker(d, n+1, "huvo11a", 12, streamTurn(ran))
		if err != nil {
			rec.say("cannot run: %v", err)
			return 2
		}
		defer w.end()
	}
	retired := d.add("store", 2, 4, false)
	if err := retired.start(); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	time.Sleep(8 * time.Second)
	load := startLoad(rec, d.of("entry"))
	defer load.end()
	time.Sleep(2 * time.Second)
	begin := time.Now()
	status, text, err := op.call(http.MethodPost, "/api/retire/"+retired.name+"/start", []byte(`{"deadline_s":10}`), 4*time.Second)
	if err != nil || status != http.StatusOK {
		rec.say("cannot run: retirement of %s: %d %s %v", retired.name, status, text, err)
		return 2
	}
	for state := ""; state != "done"; time.Sleep(50 * time.Millisecond) {
		if time.Since(begin) > 15*time.Second {
			rec.say("cannot run: the retirement of %s is not done", retired.name)
			return 2
		}
		if state, err = op.retireState(retired.name); err != nil {
			rec.say("the state of the retirement: %v", err)
		}
	}
	rec.say("the retirement of %s at %s is done after %d ms; the machine is removed", retired.name, retired.ip, time.Since(begin).Milliseconds())
	retired.kill()
	time.Sleep(5 * time.Second)
	// A store machine is replaced by an empty one at another address.
	// The machine that leads the stores, which knows of the retirement, goes on.
	leader := ledgerLeader(d)
	var others []*machine
	for _, m := range d.of("store")[:3] {
		if m != leader {
			others = append(others, m)
		}
	}
	if leader == nil || len(others) != 2 {
		rec.say("cannot run: none of the first store machines leads")
		return 2
	}
	replaced, victim := others[0], others[1]
	rec.say("%s at %s is gone for good", replaced.name, replaced.ip)
	replaced.kill()
	time.Sleep(time.Second)
	successor := d.add("store", 2, 5, false)
	if trouble {
		successor.ip = retired.ip
	}
	rec.say("%s comes at %s", successor.name, successor.ip)
	if err := successor.start(); err != nil {
		rec.say("cannot run: %v", err)
		return 2
	}
	// The successor has been there for longer than catch_up_s (4 s).
	time.Sleep(10 * time.Second)
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
