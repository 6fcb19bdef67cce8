package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
	"hemlockvale.dev/server/periodic"
)

const (
	// storeInterval is the time between two checks whether the stored catalog is out of date.
	storeInterval = time.Second
	// storedDelay is how long a VM that starts waits for control before it uses the catalog
	// that it stored.
	storedDelay = time.Second
	// storedRevision is the revision of a stored catalog. It is below that of any transfer, so
	// the first one replaces the stored catalog.
	storedRevision = 1
	// storedMode is the permission of the file, which holds keys of organisations.
	storedMode = 0o600
)

// storedCatalog is the content of the file.
type storedCatalog struct {
	Configuration *routing.Configuration `json:"configuration,omitempty"`
	Targets       []catalog.Target       `json:"targets"`
	Stores        []catalog.Store        `json:"stores"`
	// Evacuated holds the evacuated data centres.
	Evacuated []string `json:"evacuated,omitempty"`
}

// KeepStored keeps a copy of the catalog in a file until ctx ends, so that a VM that restarts
// while control can't be reached knows the targets. Any catalog from control replaces it.
func (f *Follower) KeepStored(ctx context.Context, path string) {
	sleep(ctx, storedDelay)
	if f.View().Revision == 0 && ctx.Err() == nil {
		f.restoreStored(path)
	}
	saved := uint64(0)
	periodic.Every(ctx, storeInterval, func() {
		view := f.View()
		if view.Revision == saved || view.Revision <= storedRevision {
			return
		}
		if err := view.store(path); err != nil {
			f.options.Log.WithField("event", "catalog_not_stored").WithError(err).Warn("the copy of the catalog for restarts is out of date")
			return
		}
		saved = view.Revision
	})
}

// restoreStored adopts the stored catalog.
func (f *Follower) restoreStored(path string) {
	stored, err := readStored(path)
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			f.options.Log.WithField("event", "stored_catalog_rejected").WithError(err).Warn("the stored catalog can't be used")
		}
		return
	}
	f.adoptMu.Lock()
	defer f.adoptMu.Unlock()
	// An invalid target is skipped as in any transfer. The complete configuration is requested
	// from control.
	f.adopt(f.View(), Transfer{
		Revision: storedRevision, Configuration: stored.Configuration, Targets: stored.Targets, Stores: stored.Stores,
		Evacuations: &Evacuations{DataCentres: stored.Evacuated},
	}, path)
}

// store writes the view to a file, which is replaced as a whole.
func (v *View) store(path string) error {
	stored := storedCatalog{Targets: v.Targets, Stores: v.Stores, Evacuated: v.Evacuations.DataCentres}
	if v.Table != nil {
		stored.Configuration = &v.Table.Configuration
	}
	data, err := json.Marshal(stored)
	if err == nil {
		data, err = compress(data)
	}
	if err != nil {
		return fmt.Errorf("encode the catalog: %w", err)
	}
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, data, storedMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

func readStored(path string) (storedCatalog, error) {
	var stored storedCatalog
	data, err := os.ReadFile(path)
	if err == nil {
		data, err = decompress(data)
	}
	if err == nil {
		err = json.Unmarshal(data, &stored)
	}
	return stored, err
}
