package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
)

const (
	hexadecimalDigits = "0123456789abcdef"
)

// KeyDigest returns the digest under which tables hold an API key.
func KeyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// tenants checks the tenants. No problem quotes a digest.
func (tableCheck *tableCheck) tenants(tenants []Tenant) {
	tableCheck.rowCount("tenants", len(tenants))
	names, digests := map[string]bool{}, map[string]int{}
	for index := range tenants {
		tenant, path := &tenants[index], fmt.Sprintf("tenants[%d]", index)
		tableCheck.name(path+".name", tenant.Name, names)
		if !isHeaderValue(tenant.Name) {
			tableCheck.add(path+".name", "targets can't be told the name in a header", "leave out control characters, and spaces at both ends")
		}
		tableCheck.rowCount(path+".key_digests", len(tenant.KeyDigests))
		for keyIndex, digest := range tenant.KeyDigests {
			tableCheck.keyDigest(fmt.Sprintf("%s.key_digests[%d]", path, keyIndex), digest, index, digests)
		}
		tableCheck.finite(path+".rate_per_second", tenant.RatePerSecond)
		tableCheck.finite(path+".burst", tenant.Burst)
		if tenant.Priority != nil && *tenant.Priority < 0 {
			tableCheck.add(path+".priority", fmt.Sprintf("%d is out of range", *tenant.Priority), "use 0, the highest, or above")
		}
	}
}

// keyDigest checks a digest of the tenant with the given index. The map digests holds the index of
// the tenant by the digests that were checked before.
func (tableCheck *tableCheck) keyDigest(path, digest string, tenant int, digests map[string]int) {
	if len(digest) != hex.EncodedLen(sha256.Size) || strings.Trim(digest, hexadecimalDigits) != "" {
		tableCheck.add(path, "this is no digest of a key", fmt.Sprintf("use the %d hexadecimal digits, in lower case, that comfreythread key-digest prints", hex.EncodedLen(sha256.Size)))
		return
	}
	switch holder, seen := digests[digest]; {
	case seen && holder == tenant:
		tableCheck.add(path, "the tenant has this key twice", "remove one of them")
	case seen:
		tableCheck.add(path, fmt.Sprintf("tenants[%d] has the same key", holder), "give each tenant keys of its own")
	default:
		digests[digest] = tenant
	}
}

func (tableCheck *tableCheck) finite(path string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		tableCheck.add(path, "the number is out of range", "use a finite number from 0 on")
	}
}

// isHeaderValue reports whether a text reaches its receiver unchanged as the value of a header.
func isHeaderValue(text string) bool {
	isControl := func(character rune) bool { return character < ' ' || character == '\x7f' }
	return strings.TrimSpace(text) == text && !strings.ContainsFunc(text, isControl)
}
