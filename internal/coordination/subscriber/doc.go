// Package subscriber decides which control instance an entry instance takes news from, how often it looks at the others, and which of them still count. It answers fleets in which every control instance would tell every entry instance the same, and control instances that are lost, cut off, frozen or replaced.
package subscriber
