// Changes between two builds: at random times beside the faults, and one process after the other
// afterwards, as an operator upgrades and goes back.

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// maxBuildSpan is the longest time between two random changes of a process's build.
	maxBuildSpan = 8 * time.Second
	// tenantName is the tenant in the tables that a group with an old replica must refuse.
	tenantName = "soak-tenant"
)

// useOldBuild makes all processes start with the program of the old build, if there is one.
func (soak *soak) useOldBuild(binary string) {
	soak.oldBinary = binary
	if binary == "" {
		return
	}
	for _, process := range soak.processes() {
		process.binary = binary
	}
}

// changeBuilds gives a random process the other build after random times until ctx ends.
func (soak *soak) changeBuilds(ctx context.Context, random *rand.Rand) {
	for soak.oldBinary != "" && ctx.Err() == nil {
		sleep(ctx, randomSpan(random, maxBuildSpan))
		chosen := []string{soak.oldBinary, soak.newBinary}[random.IntN(2)]
		if number := random.IntN(domainCount); random.IntN(2) == 0 {
			soak.replaceControl(number, chosen)
		} else {
			soak.replaceEntry(number, chosen)
		}
	}
}

// rollBuilds replaces the build of one process after the other: back to the old one, forward, back
// and forward again, the last time with killed control replicas. Tables change after each step.
func (soak *soak) rollBuilds(ctx context.Context, random *rand.Rand) {
	if soak.oldBinary == "" {
		return
	}
	soak.rollBack(ctx, random)
	soak.rollForward(ctx, random, soak.replaceControl)
	soak.rollBack(ctx, random)
	soak.rollForward(ctx, random, func(number int, binary string) {
		soak.killControl(number, 0, func(killed *process) { killed.binary = binary })
	})
}

// rollForward gives all processes the new build, the control replicas first. Tables with tenants must
// be refused while a replica or an entry is of the old build, and accepted afterwards.
func (soak *soak) rollForward(ctx context.Context, random *rand.Rand, replace func(number int, binary string)) {
	for number := range soak.controls {
		replace(number, soak.newBinary)
		soak.expectTenantsRefused(ctx, number)
		soak.change(ctx, random)
	}
	for number := range soak.entries {
		soak.expectTenantsRefused(ctx, 0)
		soak.replaceEntry(number, soak.newBinary)
	}
	soak.changeTenants(ctx)
	// Tables without tenants must be in force before a process of the old build starts.
	soak.change(ctx, random)
}

// rollBack gives all processes the old build, the entries first.
func (soak *soak) rollBack(ctx context.Context, random *rand.Rand) {
	for number := range soak.entries {
		soak.replaceEntry(number, soak.oldBinary)
		soak.change(ctx, random)
	}
	for number := range soak.controls {
		soak.replaceControl(number, soak.oldBinary)
		if last := len(soak.controls) - 1; number < last {
			soak.expectTenantsRefused(ctx, last)
		}
		soak.change(ctx, random)
	}
}

func (soak *soak) replaceControl(number int, binary string) {
	soak.note("control %d changes to %s", number, binary)
	soak.controlLocks[number].Lock()
	defer soak.controlLocks[number].Unlock()
	soak.controls[number].binary = binary
	soak.stopAndStartControl(number)
}

func (soak *soak) replaceEntry(number int, binary string) {
	soak.note("entry %d changes to %s", number, binary)
	soak.entryLocks[number].Lock()
	defer soak.entryLocks[number].Unlock()
	soak.entries[number].binary = binary
	soak.stopAndStartEntry(number, 0)
}

// tryTenants asks a control process of the new build whether it would accept tables with a tenant.
func (soak *soak) tryTenants(ctx context.Context, control int) error {
	_, err := operator.NewClient(soak.controls[control].settings.HTTPAddress).Change(ctx, &operator.Change{
		ID: "tenants", Declared: soak.newestDeclared.Load() + 1, Tables: tenantTables(0), DryRun: true,
	})
	return err
}

// expectTenantsRefused records a failure if a control process of the new build goes on accepting
// tables with tenants. It may do so until the leader has heard from the old replica.
func (soak *soak) expectTenantsRefused(ctx context.Context, control int) {
	if !eventually(ctx, recoverLimit, func() bool {
		limited, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		return soak.tryTenants(limited, control) != nil
	}) && ctx.Err() == nil {
		soak.record.addFailure("tables with tenants were accepted although a process was of the old build")
	}
}

// changeTenants declares tables with a tenant, whose routes are all public, and checks that they are
// read back with it.
func (soak *soak) changeTenants(ctx context.Context) {
	declared := soak.newestDeclared.Add(1)
	change := &operator.Change{ID: versionRoute(declared), Declared: declared, Tables: tenantTables(declared)}
	client := operator.NewClient(soak.controls[0].settings.HTTPAddress)
	if !soak.retry(ctx, func(ctx context.Context) error {
		_, err := client.Change(ctx, change)
		return err
	}) {
		soak.record.addFailure("tables with tenants were refused although all processes are of the new build")
		return
	}
	soak.record.addAcknowledgment(declared)
	read := false
	if !soak.retry(ctx, func(ctx context.Context) error {
		newest, err := client.Tables(ctx, 0)
		if err == nil {
			read = newest.Declared != declared || len(newest.Tables.Tenants) == 1
		}
		return err
	}) || !read {
		soak.record.addFailure(fmt.Sprintf("version %d was read without its tenant", declared))
	}
}

// tenantTables returns the tables of a declared version with a tenant, whose key no caller needs.
func tenantTables(declared uint64) operator.Tables {
	withTenant := tables(declared)
	withTenant.Tenants = []operator.Tenant{{Name: tenantName, KeyDigests: []string{operator.KeyDigest(tenantName)}}}
	for index := range withTenant.Routes {
		withTenant.Routes[index].HTTP.Public = true
	}
	return withTenant
}
