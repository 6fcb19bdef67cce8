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

// Configuration is a set of objects that is applied together.
type Configuration struct {
	// Services are written before the organisations that use them.
	Services []fleet.Service `json:"services,omitempty"`
	// Profiles belong to organisations.
	Profiles []fleet.Profile `json:"profiles,omitempty"`
	// Organisations name their default profiles.
	Organisations []fleet.Organisation `json:"organisations,omitempty"`
}

// ParseConfiguration reads a configuration and refuses unknown fields.
func ParseConfiguration(data []byte) (Configuration, error) {
	var c Configuration
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// Apply writes all objects, each at the revision at which it was read. All
// failures are reported together.
func (a *Admin) Apply(ctx context.Context, c Configuration) error {
	var errs []error
	put := func(kind, name string, object any) {
		if err := a.Put(ctx, kind, name, object); err != nil {
			errs = append(errs, fmt.Errorf("%s %s: %w", kind, name, err))
		}
	}
	// A profile names its organisation and services, while organisations and
	// services name profiles. New ones are therefore written without profiles first.
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

// Put writes one object at its current revision.
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

// revision returns the revision of an object, 0 when it does not exist.
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

func objectPath(kind, name string) string {
	return "/v1/admin/" + kind + "/" + url.PathEscape(name)
}

// IssuedKey is a new key; the secret is shown only here.
type IssuedKey struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

// IssueKey creates a key for an organisation.
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
