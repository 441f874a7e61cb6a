// Lookup of the tenant for a key.

package policy

import (
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// Tenants finds tenants by key. The zero value holds no tenants.
	Tenants struct {
		byDigest map[string]*operator.Tenant
		byName   map[string]*operator.Tenant
		needKeys bool
	}
)

// NewTenants indexes the tenants of tables, which must not be changed afterwards.
func NewTenants(tables *operator.Tables) *Tenants {
	tenants := &Tenants{byDigest: map[string]*operator.Tenant{}, byName: map[string]*operator.Tenant{}, needKeys: tables.NeedKeys()}
	for index := range tables.Tenants {
		tenants.byName[tables.Tenants[index].Name] = &tables.Tenants[index]
		for _, digest := range tables.Tenants[index].KeyDigests {
			tenants.byDigest[digest] = &tables.Tenants[index]
		}
	}
	return tenants
}

// Any reports whether the tables hold tenants.
func (tenants *Tenants) Any() bool {
	return len(tenants.byName) > 0
}

// NeedKeys reports whether requests need the key of a tenant, unless their route is public. It may without any tenant.
func (tenants *Tenants) NeedKeys() bool {
	return tenants.needKeys
}

// ByName returns the tenant with a name, or nil.
func (tenants *Tenants) ByName(name string) *operator.Tenant {
	return tenants.byName[name]
}

// Find returns the tenant that has a key, or nil. The time that it takes tells nothing about how much of
// a key was right: only digests are compared, and a caller can't choose them.
func (tenants *Tenants) Find(key string) *operator.Tenant {
	return tenants.byDigest[operator.KeyDigest(key)]
}
