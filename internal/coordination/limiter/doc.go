// Package limiter bounds what tenants may ask and what retries and hedges may add.
package limiter
