// Package screener decides which requests are kept from replicas because replicas have crashed under their repeats. It handles requests that crash every replica that runs them and come again at any entry instance, beside replicas that crash for other reasons while innocent requests run there.
package screener
