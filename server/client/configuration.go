package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/uuid"

	"hemlockvale.dev/coord/fleet"
)

// Configuration is a set of objects that are written together by Apply.
type Configuration struct {
	// Services are the services to write.
	Services []fleet.Service `json:"services,omitempty"`
	// Profiles are the profiles to write.
	Profiles []fleet.Profile `json:"profiles,omitempty"`
	// Organisations are the organisations to write.
	Organisations []fleet.Organisation `json:"organisations,omitempty"`
}

// ParseConfiguration decodes a configuration from JSON. Unknown fields are an error.
func ParseConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// Apply writes all objects of the configuration, each with its current revision as the
// expected one. It continues after a failure and returns all errors.
func (a *Admin) Apply(ctx context.Context, c Configuration) error {
	var errs []error
	put := func(kind, name string, object any) {
		if err := a.Put(ctx, kind, name, object); err != nil {
			errs = append(errs, fmt.Errorf("%s %s: %w", kind, name, err))
		}
	}
	// Profiles refer to organisations and services, which in turn refer to profiles. New
	// organisations and services are therefore written without profiles first.
	putNew := func(kind, name string, object any) {
		if revision, err := a.revision(ctx, kind, name); err == nil && revision == 0 {
			put(kind, name, object)
		}
	}
	for _, o := range c.Organisations {
		putNew("organisations", o.ID, fleet.Organisation{ID: o.ID, Name: o.Name, HomeRegion: o.HomeRegion})
	}
	for _, s := range c.Services {
		putNew("services", s.Name, fleet.Service{Name: s.Name, Kind: s.Kind})
	}
	for _, p := range c.Profiles {
		put("profiles", p.Name, p)
	}
	for _, s := range c.Services {
		put("services", s.Name, s)
	}
	for _, o := range c.Organisations {
		put("organisations", o.ID, o)
	}
	return errors.Join(errs...)
}

// Put writes one object with its current revision as the expected one.
func (a *Admin) Put(ctx context.Context, kind, name string, object any) error {
	revision, err := a.revision(ctx, kind, name)
	if err != nil {
		return err
	}
	return a.Do(ctx, Request{
		Method:           http.MethodPut,
		Path:             objectPath(kind, name),
		Body:             object,
		Operation:        uuid.NewString(),
		ExpectedRevision: &revision,
	}, nil)
}

// revision returns the revision of an object, or 0 if it does not exist.
func (a *Admin) revision(ctx context.Context, kind, name string) (uint64, error) {
	var current struct {
		Revision uint64 `json:"revision"`
	}
	err := a.Do(ctx, Request{Method: http.MethodGet, Path: objectPath(kind, name)}, &current)
	var problem *Problem
	if errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		return 0, nil
	}
	return current.Revision, err
}

// objectPath returns the URL path of an object of the operators' API.
func objectPath(kind, name string) string {
	return "/v1/admin/" + kind + "/" + url.PathEscape(name)
}

// IssuedKey is a new key. Its secret cannot be retrieved again.
type IssuedKey struct {
	// ID is the id of the key.
	ID string `json:"id"`
	// Secret is the bearer token of callers.
	Secret string `json:"secret"`
}

// IssueKey creates a key for an organisation. The operation identifies the request
// across retries. If id is empty, control generates one.
func (a *Admin) IssueKey(ctx context.Context, organisation, id, operation string) (IssuedKey, error) {
	var key IssuedKey
	err := a.Do(ctx, Request{
		Method:    http.MethodPost,
		Path:      "/v1/admin/keys",
		Body:      fleet.Key{ID: id, Organisation: organisation},
		Operation: operation,
	}, &key)
	return key, err
}
