// Package caller asks entry instances: it searches, and sends non-idempotent requests again under the same key until their outcome is known or time is up.
package caller
