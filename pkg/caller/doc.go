// Package caller is a client of entry instances: it runs searches, and retries non-idempotent requests under the same key until their outcome is known or the deadline passes.
package caller
