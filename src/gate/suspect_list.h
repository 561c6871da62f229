/* The list of requests suspected of crashing replicas that entries exchange in
   their directory rows.  */
#ifndef WY_GATE_SUSPECT_LIST_H
#define WY_GATE_SUSPECT_LIST_H

#include <jansson.h>

#include "decide/crash_tracker.h"

json_t *wy_suspect_list_encode (struct wy_crash_tracker *w, int64_t now_ms);
json_t *wy_suspect_list_encode_one (struct wy_crash_tracker *w,
                                    uint64_t fingerprint, int64_t now_ms);
json_t *wy_suspect_list_encode_all (struct wy_crash_tracker *w,
                                    int64_t now_ms);
json_t *wy_suspect_list_encode_unknown (struct wy_crash_tracker *w,
                                        const json_t *list, int64_t now_ms);
json_t *wy_suspect_json_hex (uint64_t v);
uint64_t wy_suspect_parse_hex (const json_t *j);
bool wy_suspect_list_hear (struct wy_crash_tracker *w, const json_t *list,
                           int64_t now_ms);
uint32_t wy_suspect_list_merge (struct wy_crash_tracker *w, const json_t *list,
                                int64_t now_ms);
void wy_suspect_list_adopt (struct wy_crash_tracker *w, const json_t *list,
                            int64_t now_ms);

#endif
