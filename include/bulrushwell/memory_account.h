#ifndef BULRUSHWELL_MEMORY_ACCOUNT_H
#define BULRUSHWELL_MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: One account of the memory that clients make a process hold
 *
 * What arrives from clients, what waits to be sent to them, what is merged for
 * them and the bodies that servers send are charged to one limit, so that no
 * mix of them exceeds the memory of the VM. A holder keeps its charge in a
 * size_t that starts at 0. Processes serve all connections from one thread.
 */

/**
 * memory_account_set_vm() - Sets the memory of the VM, before anything is held.
 * @bytes: 0: what the kernel reports
 */
void memory_account_set_vm(size_t bytes);

/** memory_account_vm() - The memory of the VM in bytes. */
size_t memory_account_vm(void);

/** memory_account_limit() - The limit of all charges together, in bytes. */
size_t memory_account_limit(void);

/** memory_account_held(), memory_account_peak() - The sum of all charges now,
 * and its highest value, in bytes. */
size_t memory_account_held(void);
size_t memory_account_peak(void);

/**
 * memory_account_resize() - Sets the charge of a holder.
 *
 * Return: false, without effect, when a higher charge exceeds the limit. A
 * lower one always succeeds.
 */
bool memory_account_resize(size_t *held, size_t bytes);

#endif
