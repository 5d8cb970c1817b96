// Package advertiser decides whether an entry instance lets callers be sent to it. It answers cut availability zones: an instance that has lost most control instances and can't answer most requests withdraws, so that callers reach instances of other zones that can.
package advertiser
