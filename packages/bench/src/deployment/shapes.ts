/** The parameters of the two existing deployments, for use with `Deployment`. */
import {
  availabilityZoneId,
  className,
  regionId,
  type AvailabilityZoneId,
  type RegionId,
} from '@nutmegcourse/shared'
import type { Targets } from '@nutmegcourse/protocol'

export interface ShapeZone {
  readonly zone: AvailabilityZoneId
  readonly region: RegionId
}

export interface DeploymentShape {
  readonly name: 'atlas-quai' | 'shutterbaithak'
  /** Databases are named `<service>-1` and so on. */
  readonly service: string
  /** Each zone has one backend server of each database. */
  readonly zones: readonly ShapeZone[]
  /** The region of the store and the host list. */
  readonly platformRegion: RegionId
  readonly databaseCount: number
  readonly slots: number
  readonly connectionLimit: number
  readonly connectMilliseconds: number
  /** One-way delays between zones of a region and between regions. */
  readonly zoneDelayMilliseconds: number
  readonly regionDelayMilliseconds: number
  readonly regionBitsPerSecond: number
  readonly targets: Targets
}

const REGION_BITS_PER_SECOND = 20_000_000

const shapeZone = (zone: string, region: string): ShapeZone => ({
  zone: availabilityZoneId(zone),
  region: regionId(region),
})

const ATLAS_QUAI: DeploymentShape = {
  name: 'atlas-quai',
  service: 'quai-sched',
  zones: [
    shapeZone('tanger-nord', 'tanger'),
    shapeZone('tanger-sud', 'tanger'),
    shapeZone('casa-est', 'casa'),
  ],
  platformRegion: regionId('tanger'),
  databaseCount: 3,
  slots: 3,
  connectionLimit: 25,
  connectMilliseconds: 10,
  zoneDelayMilliseconds: 1.5,
  regionDelayMilliseconds: 20,
  regionBitsPerSecond: REGION_BITS_PER_SECOND,
  targets: {
    service: 'quai-sched',
    classes: [
      {
        name: className('scheduling_write'),
        access: 'write',
        idempotent: false,
        freshnessMilliseconds: 0,
        latencyMilliseconds: 2000,
        replicaReadShare: 0,
      },
      {
        name: className('supervisor_lookup'),
        access: 'read',
        idempotent: true,
        freshnessMilliseconds: 2000,
        latencyMilliseconds: 1000,
        replicaReadShare: 0.8,
      },
    ],
    defaults: [{ class: className('scheduling_write') }],
  },
}

const SHUTTERBAITHAK: DeploymentShape = {
  name: 'shutterbaithak',
  service: 'salon-db',
  zones: [
    shapeZone('salt-lake', 'kolkata'),
    shapeZone('new-town', 'kolkata'),
    shapeZone('matigara', 'siliguri'),
  ],
  platformRegion: regionId('kolkata'),
  databaseCount: 3,
  slots: 3,
  connectionLimit: 35,
  connectMilliseconds: 30,
  zoneDelayMilliseconds: 0.5,
  regionDelayMilliseconds: 20,
  regionBitsPerSecond: REGION_BITS_PER_SECOND,
  targets: {
    service: 'salon-db',
    classes: [
      {
        name: className('score_entry'),
        access: 'write',
        idempotent: false,
        freshnessMilliseconds: 0,
        latencyMilliseconds: 2000,
        replicaReadShare: 0,
      },
      {
        name: className('gallery_browsing'),
        access: 'read',
        idempotent: true,
        freshnessMilliseconds: 10_000,
        latencyMilliseconds: 1500,
        replicaReadShare: 0.95,
      },
    ],
    defaults: [{ class: className('score_entry') }],
  },
}

export const SHAPES = { 'atlas-quai': ATLAS_QUAI, shutterbaithak: SHUTTERBAITHAK } as const
