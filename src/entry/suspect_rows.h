/* Suspect fingerprints of all entries, shared through the table service.  */
#ifndef WY_ENTRY_SUSPECT_ROWS_H
#define WY_ENTRY_SUSPECT_ROWS_H

#include "entry/state.h"

struct wy_suspect_rows;

struct wy_suspect_rows *wy_suspect_rows_new (struct wy_entry *e);
void wy_suspect_rows_free (struct wy_suspect_rows *s);
void wy_suspect_rows_changed (struct wy_suspect_rows *s, uint64_t fingerprint);
void wy_suspect_rows_read (struct wy_suspect_rows *s);
void wy_suspect_rows_read_soon (struct wy_suspect_rows *s);
void wy_suspect_rows_sweep (struct wy_suspect_rows *s, int64_t now_ms);

#endif
