package control

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"hemlockvale.dev/coord/fleet"
)

// mountFleet adds VMs, targets, shards, the deployment, the quorum and the status.
func (c *Control) mountFleet(handle func(method, path string, op operation)) {
	handle(http.MethodGet, "/vms", c.listVMs)
	handle(http.MethodPost, "/vms/{id}/drain", c.drainVM)
	handle(http.MethodPost, "/targets/{id}/drain", c.drainTarget)
	handle(http.MethodGet, "/targets", c.listTargetDrains)
	handle(http.MethodGet, "/shards", c.listShards)
	handle(http.MethodPost, "/shards/{shard}/recreate", c.recreateShard)
	handle(http.MethodGet, "/deployment", c.getDeployment)
	handle(http.MethodPut, "/deployment", c.putDeployment)
	handle(http.MethodGet, "/quorum", c.describeQuorum)
	handle(http.MethodPost, "/quorum/voters", c.addVoter)
	handle(http.MethodDelete, "/quorum/voters/{name}", c.removeVoter)
	handle(http.MethodGet, "/status", c.status)
}

// vmStatus is a registered VM as the leader sees it.
type vmStatus struct {
	fleet.VM
	// Live is false if the VM has not polled for membership.DeadAfter.
	Live bool `json:"live"`
	// Owned is the number of shards that it owns.
	Owned int `json:"owned_shards"`
	// Copies is the number of shards that it holds, the owned ones included.
	Copies int `json:"shard_copies"`
}

// vmStatuses lists the registered VMs.
func (c *Control) vmStatuses() []vmStatus {
	live := c.liveNow()
	owned := make(map[fleet.VMRef]int)
	copies := make(map[fleet.VMRef]int)
	for _, a := range c.state.Assignments() {
		owned[a.Owner]++
		for _, r := range a.Replicas {
			copies[r]++
		}
	}
	out := []vmStatus{}
	for _, vm := range c.state.VMs() {
		out = append(out, vmStatus{VM: vm, Live: live[vm.VMRef], Owned: owned[vm.VMRef], Copies: copies[vm.VMRef]})
	}
	return out
}

// liveNow returns the VMs that count as live.
func (c *Control) liveNow() map[fleet.VMRef]bool {
	refs := c.knownRefs()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Live(c.now(), refs)
}

func (c *Control) listVMs(*http.Request) (reply, error) {
	return reply{status: http.StatusOK, body: c.vmStatuses()}, nil
}

func (c *Control) drainVM(r *http.Request) (reply, error) {
	cmd, err := command(r)
	if err != nil {
		return reply{}, err
	}
	id := mux.Vars(r)["id"]
	cmd.DrainVM = &fleet.ObjectRef{ID: id, Incarnation: r.URL.Query().Get("incarnation")}
	return c.write(r, cmd, id)
}

// drainRequest is the optional body of a target's drain.
type drainRequest struct {
	// Draining is false to admit the target again.
	Draining bool `json:"draining"`
}

func (c *Control) drainTarget(r *http.Request) (reply, error) {
	cmd, err := command(r)
	if err != nil {
		return reply{}, err
	}
	request := drainRequest{Draining: true}
	if r.ContentLength != 0 {
		if err := decode(r, &request); err != nil {
			return reply{}, err
		}
	}
	id := mux.Vars(r)["id"]
	cmd.DrainTarget = &fleet.TargetDrain{ID: id, Draining: request.Draining}
	return c.write(r, cmd, id)
}

func (c *Control) listTargetDrains(*http.Request) (reply, error) {
	return reply{status: http.StatusOK, body: c.state.TargetDrains()}, nil
}

func (c *Control) listShards(*http.Request) (reply, error) {
	return reply{status: http.StatusOK, body: c.state.Assignments()}, nil
}

// recreateShard replaces a lost shard by an empty one: the operator gives up its records.
func (c *Control) recreateShard(r *http.Request) (reply, error) {
	cmd, err := command(r)
	if err != nil {
		return reply{}, err
	}
	text := mux.Vars(r)["shard"]
	shard, err := strconv.Atoi(text)
	if err != nil {
		return reply{}, problem(http.StatusBadRequest, fleet.CodeInvalid, "path", "%q is not a shard", text)
	}
	planned, ok := c.judgeShard(shard)
	if !ok {
		return reply{}, problem(http.StatusConflict, "shard_not_lost", "path", "shard %d is not lost, or no live entry VM can take it", shard)
	}
	defer c.recreated()
	cmd.RecreateShard = planned.RecreateShard
	return c.write(r, cmd, "shard "+text)
}

func (c *Control) getDeployment(*http.Request) (reply, error) {
	d := c.state.Deployment()
	return reply{status: http.StatusOK, revision: d.Revision, body: d}, nil
}

func (c *Control) putDeployment(r *http.Request) (reply, error) {
	cmd, err := command(r)
	if err != nil {
		return reply{}, err
	}
	cmd.Configure = &fleet.Deployment{}
	if err := decode(r, cmd.Configure); err != nil {
		return reply{}, err
	}
	return c.write(r, cmd, "deployment")
}

func (c *Control) describeQuorum(*http.Request) (reply, error) {
	return reply{status: http.StatusOK, body: c.o.Quorum.Describe()}, nil
}

func (c *Control) addVoter(r *http.Request) (reply, error) {
	var v Voter
	if err := decode(r, &v); err != nil {
		return reply{}, err
	}
	for place, value := range map[string]string{"name": v.Name, "storage": v.Storage, "rpc_address": v.RPCAddress} {
		if value == "" {
			return reply{}, problem(http.StatusBadRequest, fleet.CodeInvalid, place, "missing")
		}
	}
	if err := c.o.Quorum.AddVoter(r.Context(), v); err != nil {
		return reply{}, err
	}
	return reply{status: http.StatusOK, body: c.o.Quorum.Describe()}, nil
}

func (c *Control) removeVoter(r *http.Request) (reply, error) {
	v := Voter{Name: mux.Vars(r)["name"], Storage: r.URL.Query().Get("storage")}
	if v.Storage == "" {
		return reply{}, problem(http.StatusBadRequest, fleet.CodeInvalid, "storage", "the query parameter is missing")
	}
	if err := c.o.Quorum.RemoveVoter(r.Context(), v); err != nil {
		return reply{}, err
	}
	return reply{status: http.StatusOK, body: c.o.Quorum.Describe()}, nil
}

// Status is the answer to GET /v1/admin/status.
type Status struct {
	// Leader is the name of the control VM that answered.
	Leader string `json:"leader"`
	// LeaderSeconds is how long it has led.
	LeaderSeconds float64 `json:"leader_seconds"`
	// Revision is the configuration's revision.
	Revision uint64 `json:"revision"`
	// Deployment holds the settings that are fixed at creation.
	Deployment fleet.Deployment `json:"deployment"`
	// LiveVMs, DeadVMs and DrainingVMs count registered entry VMs.
	LiveVMs     int `json:"live_vms"`
	DeadVMs     int `json:"dead_vms"`
	DrainingVMs int `json:"draining_vms"`
	// UnassignedShards have no owner yet.
	UnassignedShards int `json:"unassigned_shards"`
	// UnderReplicated lists shards with fewer in-sync copies than configured.
	UnderReplicated []int `json:"under_replicated"`
	// LostShards lists shards whose in-sync VMs are all dead.
	LostShards []int `json:"lost_shards"`
}

func (c *Control) status(*http.Request) (reply, error) {
	d := c.state.Deployment()
	s := Status{
		Leader:          c.o.Settings.Name,
		LeaderSeconds:   time.Since(c.o.Quorum.LeaderSince()).Seconds(),
		Revision:        c.state.Revision(),
		Deployment:      d,
		UnderReplicated: []int{},
		LostShards:      append([]int{}, fleet.LostShards(c.state, c.liveNow())...),
	}
	for _, vm := range c.vmStatuses() {
		if vm.Role != fleet.RoleEntry {
			continue
		}
		if vm.Live {
			s.LiveVMs++
		} else {
			s.DeadVMs++
		}
		if vm.Draining {
			s.DrainingVMs++
		}
	}
	assignments := c.state.Assignments()
	s.UnassignedShards = d.Shards - len(assignments)
	for _, a := range assignments {
		if len(a.InSync) < d.Replicas {
			s.UnderReplicated = append(s.UnderReplicated, a.Shard)
		}
	}
	return reply{status: http.StatusOK, body: s}, nil
}
