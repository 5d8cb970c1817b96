// Package depositor keeps records of what became of requests, and hands them over to control instances beside the answers.
package depositor
