package control

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"hemlockvale.dev/coord/fleet"
)

// addFleetRoutes adds the routes of VMs, targets, shards, the deployment, the quorum
// and the status.
func (c *Control) addFleetRoutes(handle func(method, path string, fn endpointFunc)) {
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

// vmStatus describes a registered VM and its shards.
type vmStatus struct {
	fleet.VM
	// Live is false if the VM has not polled for membership.DeadAfter.
	Live bool `json:"live"`
	// OwnedShards is the number of shards that the VM owns.
	OwnedShards int `json:"owned_shards"`
	// ShardReplicas is the number of shards of which the VM holds a replica, including
	// those that it owns.
	ShardReplicas int `json:"shard_copies"`
}

// vmStatuses returns the status of each registered VM.
func (c *Control) vmStatuses() []vmStatus {
	live := c.liveNow()
	owned := make(map[fleet.VMRef]int)
	replicas := make(map[fleet.VMRef]int)
	for _, a := range c.state.Assignments() {
		owned[a.Owner]++
		for _, r := range a.Replicas {
			replicas[r]++
		}
	}
	out := []vmStatus{}
	for _, vm := range c.state.VMs() {
		out = append(out, vmStatus{VM: vm, Live: live[vm.VMRef], OwnedShards: owned[vm.VMRef], ShardReplicas: replicas[vm.VMRef]})
	}
	return out
}

// liveNow returns the VMs that currently count as live.
func (c *Control) liveNow() map[fleet.VMRef]bool {
	refs := c.knownVMs()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Live(c.now(), refs)
}

func (c *Control) listVMs(*http.Request) (endpointResponse, error) {
	return endpointResponse{status: http.StatusOK, body: c.vmStatuses()}, nil
}

func (c *Control) drainVM(r *http.Request) (endpointResponse, error) {
	cmd, err := newCommand(r)
	if err != nil {
		return endpointResponse{}, err
	}
	id := mux.Vars(r)["id"]
	cmd.DrainVM = &fleet.ObjectRef{ID: id, Incarnation: r.URL.Query().Get("incarnation")}
	return c.write(r, cmd, id)
}

// drainRequest is the optional request body for draining a target.
type drainRequest struct {
	// Draining is false to end the drain of the target.
	Draining bool `json:"draining"`
}

func (c *Control) drainTarget(r *http.Request) (endpointResponse, error) {
	cmd, err := newCommand(r)
	if err != nil {
		return endpointResponse{}, err
	}
	request := drainRequest{Draining: true}
	if r.ContentLength != 0 {
		if err := decode(r, &request); err != nil {
			return endpointResponse{}, err
		}
	}
	id := mux.Vars(r)["id"]
	cmd.DrainTarget = &fleet.TargetDrain{ID: id, Draining: request.Draining}
	return c.write(r, cmd, id)
}

func (c *Control) listTargetDrains(*http.Request) (endpointResponse, error) {
	return endpointResponse{status: http.StatusOK, body: c.state.TargetDrains()}, nil
}

func (c *Control) listShards(*http.Request) (endpointResponse, error) {
	return endpointResponse{status: http.StatusOK, body: c.state.Assignments()}, nil
}

// recreateShard replaces a lost shard with an empty one. The records of the lost shard are
// permanently lost.
func (c *Control) recreateShard(r *http.Request) (endpointResponse, error) {
	cmd, err := newCommand(r)
	if err != nil {
		return endpointResponse{}, err
	}
	text := mux.Vars(r)["shard"]
	shard, err := strconv.Atoi(text)
	if err != nil {
		return endpointResponse{}, problem(http.StatusBadRequest, fleet.CodeInvalid, "path", "%q is not a shard", text)
	}
	planned, ok := c.beginRecreation(shard)
	if !ok {
		return endpointResponse{}, problem(http.StatusConflict, "shard_not_lost", "path", "shard %d is not lost, or no live entry VM can take it", shard)
	}
	defer c.endRecreation()
	cmd.RecreateShard = planned.RecreateShard
	return c.write(r, cmd, "shard "+text)
}

func (c *Control) getDeployment(*http.Request) (endpointResponse, error) {
	d := c.state.Deployment()
	return endpointResponse{status: http.StatusOK, revision: d.Revision, body: d}, nil
}

func (c *Control) putDeployment(r *http.Request) (endpointResponse, error) {
	cmd, err := newCommand(r)
	if err != nil {
		return endpointResponse{}, err
	}
	cmd.Configure = &fleet.Deployment{}
	if err := decode(r, cmd.Configure); err != nil {
		return endpointResponse{}, err
	}
	return c.write(r, cmd, "deployment")
}

func (c *Control) describeQuorum(*http.Request) (endpointResponse, error) {
	return endpointResponse{status: http.StatusOK, body: c.o.Quorum.Describe()}, nil
}

func (c *Control) addVoter(r *http.Request) (endpointResponse, error) {
	var v Voter
	if err := decode(r, &v); err != nil {
		return endpointResponse{}, err
	}
	for field, value := range map[string]string{"name": v.Name, "storage": v.Storage, "rpc_address": v.RPCAddress} {
		if value == "" {
			return endpointResponse{}, problem(http.StatusBadRequest, fleet.CodeInvalid, field, "missing")
		}
	}
	if err := c.o.Quorum.AddVoter(r.Context(), v); err != nil {
		return endpointResponse{}, err
	}
	return endpointResponse{status: http.StatusOK, body: c.o.Quorum.Describe()}, nil
}

func (c *Control) removeVoter(r *http.Request) (endpointResponse, error) {
	v := Voter{Name: mux.Vars(r)["name"], Storage: r.URL.Query().Get("storage")}
	if v.Storage == "" {
		return endpointResponse{}, problem(http.StatusBadRequest, fleet.CodeInvalid, "storage", "the query parameter is missing")
	}
	if err := c.o.Quorum.RemoveVoter(r.Context(), v); err != nil {
		return endpointResponse{}, err
	}
	return endpointResponse{status: http.StatusOK, body: c.o.Quorum.Describe()}, nil
}

// Status is the response body of GET /v1/admin/status.
type Status struct {
	// Leader is the name of the leader, which sends the response.
	Leader string `json:"leader"`
	// LeaderSeconds is the time for which it has been the leader, in seconds.
	LeaderSeconds float64 `json:"leader_seconds"`
	// Revision is the revision of the configuration.
	Revision uint64 `json:"revision"`
	// Deployment holds the deployment's numbers of shards and replicas and its other
	// settings.
	Deployment fleet.Deployment `json:"deployment"`
	// LiveVMs is the number of registered entry VMs that are live.
	LiveVMs int `json:"live_vms"`
	// DeadVMs is the number of registered entry VMs that are not live.
	DeadVMs int `json:"dead_vms"`
	// DrainingVMs is the number of registered entry VMs that are draining, live or not.
	DrainingVMs int `json:"draining_vms"`
	// UnassignedShards is the number of shards that have no owner yet.
	UnassignedShards int `json:"unassigned_shards"`
	// UnderReplicated lists the shards with fewer in-sync VMs than configured replicas.
	UnderReplicated []int `json:"under_replicated"`
	// LostShards lists the shards whose in-sync VMs are all dead.
	LostShards []int `json:"lost_shards"`
}

func (c *Control) status(*http.Request) (endpointResponse, error) {
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
	return endpointResponse{status: http.StatusOK, body: s}, nil
}
